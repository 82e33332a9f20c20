#ifndef JAYRILL_RPC_H_
#define JAYRILL_RPC_H_

/// \file
/// Umbrella header of the rpc module: the RPC schema between entries and
/// agents, the codec between its messages and the domain types, and the stream
/// that carries them.

#include "jayrill/rpc/batched_stream.h"
#include "jayrill/rpc/codec.h"
#include "jayrill/rpc/dispatch.capnp.h"
#include "jayrill/rpc/entry_endpoint.h"
#include "jayrill/rpc/reader_limits.h"

#endif  // JAYRILL_RPC_H_
