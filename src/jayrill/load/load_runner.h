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

/// What a load run needs besides its jobs.
struct load_options {
  std::vector<std::string> entries;  ///< HTTP addresses, used in turn.
  std::vector<fleet_member> fleet;   ///< For the ideal.
  std::size_t connections = 240;     ///< Most to each entry.
  std::string run_name;              ///< Part of the request keys.
  /// Called with each job when it is sent.
  std::function<void(const planned_job&)> on_sent;
};

/// Sends the jobs of an arrival source at their times, whether earlier ones
/// have been answered or not, and reports how they ended.
class load_runner {
 public:
  load_runner(arrival_source& arrivals,
              load_options options,
              const clock& time,
              load_report& report);

  /// Runs until all jobs are answered. Handles events meanwhile.
  void Run();

  /// Sends nothing more; Run returns when the jobs in flight are answered.
  void StopSending();

  std::uint64_t in_flight() const { return in_flight_; }

 private:
  void SendDue();
  void SendOrWait(planned_job job);
  bool TrySend(const planned_job& job, std::size_t entry);
  void SendWaiting();
  void OnReply(const planned_job& job, QNetworkReply& reply);
  void QuitWhenDone();
  std::chrono::microseconds Elapsed() const;

  arrival_source& arrivals_;
  const load_options options_;
  const clock& clock_;
  load_report& report_;
  request_pool pool_;
  QEventLoop loop_;
  QTimer timer_;
  steady_time start_;
  std::optional<planned_job> next_;
  std::vector<std::deque<planned_job>> waiting_;  ///< By entry.
  std::size_t next_entry_ = 0;
  std::uint64_t in_flight_ = 0;
  std::uint64_t keys_ = 0;
};

}  // namespace jayrill

#endif  // JAYRILL_LOAD_LOAD_RUNNER_H_
