#ifndef JAYRILL_AGENT_INTERNAL_LINK_CODEC_H_
#define JAYRILL_AGENT_INTERNAL_LINK_CODEC_H_

#include <kj/time.h>

#include <chrono>

#include "jayrill/agent/config_copy.h"
#include "jayrill/base/clock.h"
#include "jayrill/rpc/codec.h"
#include "jayrill/rpc/dispatch.capnp.h"

namespace jayrill::agent::internal {

/// \returns \p duration as kj counts it.
inline kj::Duration ToKj(steady_duration duration) {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(duration)
             .count() *
         kj::NANOSECONDS;
}

inline config_copy DecodeConfig(wire::Config::Reader config) {
  return {config_revision{config.getRevision()}, ToString(config.getPacked())};
}

inline void EncodeConfigCopy(const config_copy& config,
                             wire::Config::Builder wire) {
  wire.setRevision(config.revision.value);
  wire.setPacked(ToData(config.packed));
}

}  // namespace jayrill::agent::internal

#endif  // JAYRILL_AGENT_INTERNAL_LINK_CODEC_H_
