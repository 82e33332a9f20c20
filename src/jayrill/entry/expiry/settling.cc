#include "jayrill/entry/expiry/settling.h"

namespace jayrill {

bool ShouldSettle(const settle_state& state) {
  if (state.objective.count() == 0 || state.has_run) {
    return false;
  }
  const steady_time useless_from =
      state.arrival + kUsefulObjectives * state.objective;
  return !state.is_started || SettleStart(state) >= useless_from;
}

}  // namespace jayrill
