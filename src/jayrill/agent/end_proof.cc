#include "jayrill/agent/end_proof.h"

namespace jayrill {

std::string_view ToString(end_proof proof) {
  switch (proof) {
    case end_proof::kNotOrdered:
      return "not_ordered";
    case end_proof::kRefused:
      return "refused";
    case end_proof::kEndListed:
      return "end_listed";
    case end_proof::kStopAcknowledged:
      return "stop_acknowledged";
    case end_proof::kLeasePassed:
      return "lease_passed";
    case end_proof::kRestarted:
      return "restarted";
  }
  return "unknown";
}

std::string_view ToString(order_answer answer) {
  switch (answer) {
    case order_answer::kAccepted:
      return "accepted";
    case order_answer::kFenced:
      return "fenced";
    case order_answer::kSuperseded:
      return "superseded";
    case order_answer::kExpired:
      return "expired";
    case order_answer::kNoRoom:
      return "no_room";
    case order_answer::kInvalid:
      return "invalid";
    case order_answer::kUnhealthy:
      return "unhealthy";
    case order_answer::kLost:
      return "lost";
  }
  return "unknown";
}

}  // namespace jayrill
