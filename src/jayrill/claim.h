#ifndef JAYRILL_CLAIM_H_
#define JAYRILL_CLAIM_H_

/// \file
/// Umbrella header of the claim module: durable claims in the key-value store,
/// which keep a non-idempotent request from running twice.

#include "jayrill/claim/claim_decision.h"
#include "jayrill/claim/claim_ledger.h"
#include "jayrill/claim/claim_shard.h"
#include "jayrill/claim/request_key.h"

#endif  // JAYRILL_CLAIM_H_
