#include "jayrill/agent/minion_client.h"

#include <QNetworkProxy>

#include <algorithm>
#include <utility>

#include "jayrill/agent/internal/minion_call.h"
#include "jayrill/session/pause_detector.h"

namespace jayrill {

namespace {

// QNetworkAccessManager opens at most this many connections to a host and
// port; a further request would wait inside it.
constexpr std::uint32_t kCallsPerManager = 6;

}  // namespace

minion_client::minion_client(const agent_settings& settings,
                             const clock& time,
                             listener owner)
    : settings_(settings), time_(time), listener_(std::move(owner)) {}

minion_client::~minion_client() = default;

void minion_client::Run(const task_call& call) {
  if (RefuseLate(call)) {
    return;
  }
  manager& chosen = FreeManager();
  ++chosen.busy;
  ++running_;
  const std::uint64_t id = call.id;
  auto* running = new agent::internal::minion_call(call, settings_, time_,
                                                   *chosen.access, &calls_);
  running->Start(
      [this, id](task_result outcome) {
        listener_.on_result(id, std::move(outcome));
      },
      [this, id, &chosen] {
        --chosen.busy;
        --running_;
        listener_.on_slot_free(id);
      });
}

bool minion_client::RefuseLate(const task_call& call) {
  // The process may have been stopped between the start gate and here.
  const bool paused = time_.Now() - call.released > kPauseLimit;
  if (!paused && !left_) {
    return false;
  }
  task_result outcome;
  outcome.outcome = task_outcome::kNotRun;
  outcome.reason = paused ? not_run_reason::kPaused : not_run_reason::kDraining;
  outcome.message = paused ? "the agent was paused" : "the minion is leaving";
  listener_.on_result(call.id, std::move(outcome));
  listener_.on_slot_free(call.id);
  return true;
}

minion_client::manager& minion_client::FreeManager() {
  const auto found = std::find_if(
      managers_.begin(), managers_.end(),
      [](const auto& item) { return item->busy < kCallsPerManager; });
  if (found != managers_.end()) {
    return **found;
  }
  auto added = std::make_unique<manager>();
  added->access = std::make_unique<QNetworkAccessManager>();
  added->access->setProxy(QNetworkProxy::NoProxy);
  added->access->setAutoDeleteReplies(false);
  managers_.push_back(std::move(added));
  return *managers_.back();
}

}  // namespace jayrill
