#include "jayrill/session/start_gate.h"

namespace jayrill {

connection_epoch start_gate::Reconnect() {
  ++epoch_.value;
  return epoch_;
}

start_gate::decision start_gate::Admit(connection_epoch epoch,
                                       start_number number) {
  if (epoch != epoch_) {
    return decision::kStaleEpoch;
  }
  if (number <= last_accepted_) {
    return decision::kDuplicate;
  }
  last_accepted_ = number;
  return decision::kAdmitted;
}

}  // namespace jayrill
