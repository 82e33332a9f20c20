#ifndef JAYRILL_RPC_H_
#define JAYRILL_RPC_H_

/// \file
/// Umbrella header of the rpc module: the RPC schema between entries and
/// agents, its translation to domain types and the stream under it.

#include "jayrill/rpc/batched_stream.h"
#include "jayrill/rpc/codec.h"
#include "jayrill/rpc/dispatch.capnp.h"
#include "jayrill/rpc/reader_limits.h"

#endif  // JAYRILL_RPC_H_
