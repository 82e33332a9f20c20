#ifndef JAYRILL_AGENT_END_PROOF_H_
#define JAYRILL_AGENT_END_PROOF_H_

#include <string_view>

#include "jayrill/agent/run_control.h"

namespace jayrill {

/// Why an agent takes a call to a minion for ended.
enum class end_proof {
  kNotOrdered,        ///< No order to start it was sent.
  kRefused,           ///< The minion has refused the order to start it.
  kEndListed,         ///< The minion has listed the end of its run.
  kStopAcknowledged,  ///< A stop was acknowledged and no later report lists it.
  kLeasePassed,       ///< Its lease has passed and the minion does not answer.
  kRestarted,         ///< The minion has restarted and does not list it.
};

/// \returns the name of \p proof in snake case, for logs.
std::string_view ToString(end_proof proof);

/// \returns the name of \p answer in snake case, for logs.
std::string_view ToString(order_answer answer);

}  // namespace jayrill

#endif  // JAYRILL_AGENT_END_PROOF_H_
