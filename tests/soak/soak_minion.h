#ifndef TESTS_SOAK_SOAK_MINION_H_
#define TESTS_SOAK_SOAK_MINION_H_

#include <QJsonArray>
#include <QJsonObject>
#include <QString>
#include <QTimer>
#include <list>
#include <map>
#include <memory>
#include <utility>

#include "jayrill/base/clock.h"
#include "jayrill/base/random_source.h"
#include "review/standin/http.hpp"
#include "run_log.h"

namespace jayrill::soak {

/// What tells one minion from the others.
struct minion_identity {
  QString id;
  QString data_centre;
  QString agent;    ///< Address for its heartbeats.
  QString service;  ///< The same for all minions of a soak.
};

/// A minion of the users' platform on the event loop of this thread. It
/// registers at its agent, runs tasks under leases and lists their ends. A run
/// ends at the time at which it was due to end, however late this thread gets
/// to it, so that a busy machine makes no overlaps here.
class soak_minion {
 public:
  /// \p time, \p runs and \p random must outlive the minion.
  soak_minion(minion_identity identity,
              const clock& time,
              run_log& runs,
              random_source& random);

  const QString& id() const { return identity_.id; }

  /// Ends all runs at once; the minion refuses connections until Restart().
  void Crash();
  /// Begins a new life that knows nothing of the life before.
  void Restart();
  bool is_up() const { return server_ != nullptr; }

  /// Until it is called with 0, this share of the orders gets no answer and is
  /// carried out 2 to 12 s later.
  void SetLateShare(double share) { late_share_ = share; }

  /// Until it is called with 0, the answers to this share of the orders are
  /// lost after the orders were carried out.
  void SetLostAnswerShare(double share) { lost_answer_share_ = share; }

  /// Ends the runs that were due to end before now.
  void Settle();

 private:
  using run_name = std::pair<QString, qint64>;  // Task and attempt.

  struct active_run {
    run_log::run_index index = 0;
    steady_time begun_at;
    steady_time done_at;
    steady_time stopped_at = steady_time::max();

    auto operator<=>(const active_run&) const = default;
  };
  struct waiting_hold {
    steady_time until;
    review::reply_function reply;
  };

  void Announce();
  void Receive(const review::http_message& request,
               const review::reply_function& reply);
  void Apply(const review::http_message& request,
             const review::reply_function& reply);
  void Start(const QJsonObject& body, const review::reply_function& reply);
  void Stop(const QJsonObject& body, const review::reply_function& reply);
  void Hold(const QJsonObject& body, const review::reply_function& reply);
  void ExtendLease(const QJsonObject& body);
  void End(const run_name& name, steady_time end, run_end how);
  void AnswerHolds();
  void Tick();
  qint64 LifeMs() const;
  QJsonObject WithClock(QJsonObject json) const;
  QJsonObject Report() const;

  minion_identity identity_;
  const clock& time_;
  run_log& log_;
  random_source& random_;
  double late_share_ = 0;
  double lost_answer_share_ = 0;
  steady_time life_begin_;
  qint64 born_ = 0;
  qint64 sequence_ = 0;
  qint64 token_ = 0;
  qint64 last_end_ = 0;
  steady_time lease_end_;
  std::map<run_name, active_run> runs_;
  std::map<QString, qint64> newest_attempts_;
  std::map<qint64, QJsonArray> ends_;
  std::list<waiting_hold> holds_;
  QTimer tick_timer_;
  QTimer heartbeat_timer_;
  std::unique_ptr<review::http_server> server_;
};

}  // namespace jayrill::soak

#endif  // TESTS_SOAK_SOAK_MINION_H_
