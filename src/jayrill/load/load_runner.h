#ifndef JAYRILL_LOAD_LOAD_RUNNER_H_
#define JAYRILL_LOAD_LOAD_RUNNER_H_

#include <QEventLoop>
#include <QNetworkReply>
#include <QTimer>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "jayrill/base/clock.h"
#include "jayrill/load/arrival_source.h"
#include "jayrill/load/ideal.h"
#include "jayrill/load/load_report.h"
#include "jayrill/load/request_pool.h"

namespace jayrill {

/// Settings of a load run.
struct load_options {
  std::vector<std::string> entries;  ///< HTTP addresses, used round robin.
  std::vector<fleet_member> fleet;   ///< For ideal response times.
  std::size_t connections = 240;     ///< Limit for each entry.
  std::string run_name;              ///< Part of the request keys.
  /// Called with each job when it is sent.
  std::function<void(const planned_job&)> on_sent;
};

/// Sends the jobs of an arrival source to the entries at their send times and
/// adds the results to a report.
///
/// The load is open-loop: a job does not wait for the answers to earlier ones.
/// When all connections to an entry are in use, its jobs are queued and sent
/// late; their latency still counts from the intended send time. Must be used
/// on one thread, after a QCoreApplication was created.
class load_runner {
 public:
  load_runner(arrival_source& arrivals,
              load_options options,
              const clock& time,
              load_report& report);

  /// Sends the jobs and returns when each has been answered or has failed. Runs
  /// a Qt event loop meanwhile.
  void Run();

  /// Discards the jobs that have not been sent. Run then returns when no job is
  /// in flight.
  void StopSending();

  std::uint64_t in_flight() const { return in_flight_; }

 private:
  /// Sends the jobs whose send time has come and sets the timer for the next.
  void SendDueJobs();
  /// Sends \p job to the next entry, or queues it there when jobs already wait
  /// or all connections are in use.
  void SendOrQueue(planned_job job);
  /// \returns false when all connections to \p entry are in use.
  bool TrySend(const planned_job& job, std::size_t entry);
  void SendQueued();
  void OnReply(const planned_job& job, QNetworkReply& reply);
  void QuitWhenDone();
  std::chrono::microseconds Elapsed() const;

  arrival_source& arrivals_;
  const load_options options_;
  const clock& clock_;
  load_report& report_;
  request_pool pool_;
  QEventLoop loop_;
  QTimer send_timer_;
  steady_time start_time_;
  std::optional<planned_job> next_job_;
  std::vector<std::deque<planned_job>> queued_jobs_;  ///< Index: entry.
  std::size_t next_entry_ = 0;
  std::uint64_t in_flight_ = 0;
  std::uint64_t last_key_number_ = 0;
};

}  // namespace jayrill

#endif  // JAYRILL_LOAD_LOAD_RUNNER_H_
