#ifndef JAYRILL_AGENT_INTERNAL_COUNTERS_TEXT_H_
#define JAYRILL_AGENT_INTERNAL_COUNTERS_TEXT_H_

#include <string>

#include "jayrill/agent/agent_process.h"

namespace jayrill::agent::internal {

/// \returns the counters and gauges of \p view and \p lost_calls in the
/// Prometheus text exposition format.
std::string ToText(const agent_view& view,
                   const lost_call_counters& lost_calls);

}  // namespace jayrill::agent::internal

#endif  // JAYRILL_AGENT_INTERNAL_COUNTERS_TEXT_H_
