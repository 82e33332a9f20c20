#ifndef JAYRILL_TESTS_ENTRY_FAKE_AGENT_H_
#define JAYRILL_TESTS_ENTRY_FAKE_AGENT_H_

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "jayrill/entry/dispatcher.h"
#include "jayrill/session/start_gate.h"

namespace jayrill {

/// How often each task was executed, over all minions.
using execution_counts = std::map<std::pair<job_id, std::uint32_t>, int>;

/// \returns the answer of a task, which is different for each task.
inline std::string AnswerOf(job_id job, std::uint32_t task) {
  return std::to_string(job.sequence) + "/" + std::to_string(task);
}

/// An agent with its minion and its connection, without network and threads.
/// Messages are delivered or lost, and tasks executed, only when a test calls
/// for it.
class fake_agent {
 public:
  fake_agent(std::string id, std::string data_centre, execution_counts& counts)
      : counts_(counts) {
    hello_.agent_id = std::move(id);
    hello_.data_centre = std::move(data_centre);
    hello_.process = incarnation{1};
    hello_.status.service = "quotes";
    hello_.status.slots = 2;
    hello_.status.cores = 4;
  }

  minion_status& status() { return hello_.status; }
  agent_hello& hello() { return hello_; }
  bool connected() const { return connection_.has_value(); }
  agent_handle handle() const { return connection_->agent; }
  connection_id connection() const { return connection_->connection; }

  bool Connect(dispatcher& entry) {
    connection_.reset();
    hello_.epoch = gate_.Reconnect();
    hello_.last_accepted = gate_.last_accepted();
    const auto reply = entry.Connect(hello_);
    if (reply) {
      connection_ = *reply;
      hello_.session = reply->session;
      Receive(entry.config());
      if (!reply->resumed) {
        results_.clear();
        queue_.clear();
        last_closed_start_ = gate_.last_accepted();
      }
    }
    return reply.has_value();
  }

  /// Sends a hello; the answer of the entry is lost with the connection.
  void ConnectWithoutAnswer(dispatcher& entry) {
    connection_.reset();
    hello_.epoch = gate_.Reconnect();
    hello_.last_accepted = gate_.last_accepted();
    entry.Connect(hello_);
  }

  /// Closes the connection; the entry is told only if \p entry_notices.
  void Cut(dispatcher& entry, bool entry_notices) {
    if (connection_ && entry_notices) {
      entry.OnDisconnect(connection_->agent, connection_->connection);
    }
    connection_.reset();
  }

  /// Replaces the process. ReportLate delivers the last report of the old one.
  void Restart() {
    if (connection_) {
      late_report_ = {connection_, results_};
    }
    ++hello_.process.value;
    hello_.session = {};
    gate_ = start_gate();
    connection_.reset();
    inbox_.clear();
    queue_.clear();
    running_.clear();
    results_.clear();
    hello_.status.revision = config_revision{};
    config_.reset();
  }

  /// Takes a configuration, from this entry or from another one.
  void Receive(const shared_config& config) {
    if (config && (!config_ || config->revision > config_->revision)) {
      config_ = config;
      hello_.status.revision = config->revision;
    }
  }
  const shared_config& config() const { return config_; }

  void EnqueueBatch(start_batch batch) { inbox_.push_back(std::move(batch)); }

  /// Handles the oldest batch, which may be of an earlier connection.
  void DeliverBatch() {
    if (inbox_.empty()) {
      return;
    }
    const start_batch batch = std::move(inbox_.front());
    inbox_.pop_front();
    for (const start_request& order : batch.starts) {
      if (gate_.Admit(batch.epoch, order.number) !=
          start_gate::decision::kAdmitted) {
        continue;
      }
      if (refuses_late_starts_) {
        AddNotRun(order.number, not_run_reason::kExpired);
      } else if (batch.revision < hello_.status.revision) {
        AddNotRun(order.number, not_run_reason::kStaleConfig);
      } else if (config_ && config_->IsOut(hello_.data_centre)) {
        AddNotRun(order.number, not_run_reason::kDataCentreOut);
      } else if (hello_.status.draining) {
        AddNotRun(order.number, not_run_reason::kDraining);
      } else if (order.max_wait < expected_wait_ &&
                 order.max_wait.count() > 0) {
        AddNotRun(order.number, not_run_reason::kBusy);
      } else {
        queue_.push_back(order);
      }
    }
  }

  /// \returns the number of accepted starts that were not executed yet.
  std::size_t queued_starts() const { return queue_.size(); }

  /// Makes the agent give back each start that may not wait for \p wait.
  void SetExpectedWait(std::chrono::milliseconds wait) {
    expected_wait_ = wait;
  }

  /// Makes the agent refuse starts as if they had arrived too late.
  void SetRefusesLateStarts(bool refuses) { refuses_late_starts_ = refuses; }

  /// Drops the newest batch.
  void LoseBatch() {
    if (!inbox_.empty()) {
      inbox_.pop_back();
    }
  }

  /// Reports the queued ones of \p numbers as cancelled.
  void CancelStarts(const std::vector<start_number>& numbers) {
    std::erase_if(queue_, [&](const start_request& order) {
      const bool found = std::find(numbers.begin(), numbers.end(),
                                   order.number) != numbers.end();
      if (found) {
        AddNotRun(order.number, not_run_reason::kCancelled);
      }
      return found;
    });
  }

  /// Starts the execution of the oldest queued task.
  void Execute() {
    if (!queue_.empty()) {
      const start_request order = queue_.front();
      queue_.pop_front();
      ++counts_[{order.job, order.task_index}];
      running_.push_back(order);
    }
  }

  /// Ends the execution of the oldest running task after \p run_time.
  void Finish(
      task_outcome outcome,
      std::chrono::milliseconds run_time = std::chrono::milliseconds(100)) {
    if (running_.empty()) {
      return;
    }
    const start_request order = running_.front();
    running_.pop_front();
    if (order.number <= last_closed_start_) {
      return;  // The entry has closed that session.
    }
    task_result result;
    result.number = order.number;
    result.outcome = outcome;
    result.body = AnswerOf(order.job, order.task_index);
    result.run_time = run_time;
    results_.push_back(result);
  }

  /// Delivers the last report of a process that was replaced.
  void ReportLate(dispatcher& entry) {
    if (late_report_.first) {
      entry.OnReport(late_report_.first->agent, late_report_.first->connection,
                     late_report_.second, hello_.status);
    }
  }

  /// Sends a report. Unless it is \p acknowledged, the next one repeats the
  /// results.
  void Report(dispatcher& entry, bool acknowledged) {
    if (!connection_) {
      return;
    }
    hello_.status.busy = static_cast<std::uint32_t>(running_.size());
    hello_.status.queued = static_cast<std::uint32_t>(queue_.size());
    // Taken out first: the entry may cancel starts in the call, which adds
    // results.
    const auto reported = std::exchange(results_, {});
    const bool accepted = entry.OnReport(
        connection_->agent, connection_->connection, reported, hello_.status);
    if (!accepted || !acknowledged) {
      results_.insert(results_.begin(), reported.begin(), reported.end());
    }
  }

 private:
  void AddNotRun(start_number number, not_run_reason reason) {
    task_result result;
    result.number = number;
    result.outcome = task_outcome::kNotRun;
    result.reason = reason;
    results_.push_back(result);
  }

  execution_counts& counts_;
  agent_hello hello_;
  start_gate gate_;
  std::optional<dispatcher::connect_reply> connection_;
  shared_config config_;
  start_number last_closed_start_;
  std::deque<start_batch> inbox_;
  std::deque<start_request> queue_;
  std::deque<start_request> running_;
  std::vector<task_result> results_;
  std::chrono::milliseconds expected_wait_{};
  bool refuses_late_starts_ = false;
  std::pair<std::optional<dispatcher::connect_reply>, std::vector<task_result>>
      late_report_;
};

}  // namespace jayrill

#endif  // JAYRILL_TESTS_ENTRY_FAKE_AGENT_H_
