#include "jayrill/agent/minion_client.h"

#include <QNetworkProxy>

#include <algorithm>
#include <utility>

#include "jayrill/agent/internal/minion_call.h"
#include "jayrill/session/pause_detector.h"

namespace jayrill {

namespace {

// QNetworkAccessManager opens at most 6 connections to a host and port and
// queues further requests, so a further call gets another manager.
constexpr std::uint32_t kCallsPerPool = 6;

}  // namespace

minion_client::minion_client(const agent_settings& settings,
                             const clock& time,
                             listener callbacks)
    : settings_(settings), time_(time), listener_(std::move(callbacks)) {}

minion_client::~minion_client() = default;

void minion_client::Run(const task_call& call) {
  if (RefuseIfPausedOrLeft(call)) {
    return;
  }
  connection_pool& pool = PoolWithCapacity();
  ++pool.active_calls;
  ++running_;
  const std::uint64_t id = call.id;
  auto* running = new agent::internal::minion_call(
      call, settings_, time_, *pool.network, &call_parent_);
  running->Start(
      [this, id](task_result outcome) {
        listener_.on_result(id, std::move(outcome));
      },
      [this, id, &pool] {
        --pool.active_calls;
        --running_;
        listener_.on_slot_free(id);
      });
}

bool minion_client::RefuseIfPausedOrLeft(const task_call& call) {
  // The process may have been paused since the agent core released the call.
  const bool paused = time_.Now() - call.released > kPauseLimit;
  if (!paused && !minion_left_) {
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

minion_client::connection_pool& minion_client::PoolWithCapacity() {
  const auto found = std::find_if(
      pools_.begin(), pools_.end(),
      [](const auto& item) { return item->active_calls < kCallsPerPool; });
  if (found != pools_.end()) {
    return **found;
  }
  auto added = std::make_unique<connection_pool>();
  added->network = std::make_unique<QNetworkAccessManager>();
  added->network->setProxy(QNetworkProxy::NoProxy);
  added->network->setAutoDeleteReplies(false);
  pools_.push_back(std::move(added));
  return *pools_.back();
}

}  // namespace jayrill
