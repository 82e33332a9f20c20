#include "jayrill/job/task_result.h"

namespace jayrill {

std::string_view ToString(not_run_reason reason) {
  switch (reason) {
    case not_run_reason::kNone:
      return "none";
    case not_run_reason::kStaleConfig:
      return "stale_config";
    case not_run_reason::kDataCentreOut:
      return "data_centre_out";
    case not_run_reason::kDraining:
      return "draining";
    case not_run_reason::kNoMinion:
      return "no_minion";
    case not_run_reason::kPaused:
      return "paused";
    case not_run_reason::kExpired:
      return "expired";
    case not_run_reason::kCancelled:
      return "cancelled";
    case not_run_reason::kQueueFull:
      return "queue_full";
    case not_run_reason::kConnectionRefused:
      return "connection_refused";
    case not_run_reason::kRefused:
      return "refused";
    case not_run_reason::kBusy:
      return "busy";
    case not_run_reason::kWrongService:
      return "wrong_service";
  }
  return "none";
}

}  // namespace jayrill
