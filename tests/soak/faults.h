#ifndef TESTS_SOAK_FAULTS_H_
#define TESTS_SOAK_FAULTS_H_

#include <QObject>
#include <QString>
#include <QTimer>
#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "fleet.h"
#include "jayrill/base/random_source.h"

namespace jayrill::soak {

/// Inflicts a series of faults on a fleet from outside its processes. Faults
/// overlap: the next one begins whether earlier ones have ended or not. The
/// seed of \p random fixes the series, but not its effect.
class fault_series : public QObject {
 public:
  /// \param groups names of the groups of faults to draw from; empty: all
  /// \param time, random must outlive the series
  fault_series(fleet& site,
               const std::vector<std::string>& groups,
               const clock& time,
               random_source& random);

  /// \returns the names of all groups.
  static std::vector<std::string> Groups();

  /// Begins a fault each \p min_gap to \p max_gap until Stop().
  void Start(std::chrono::milliseconds min_gap,
             std::chrono::milliseconds max_gap);
  void Stop() { next_.stop(); }

  /// \returns true when no fault of the series disturbs an agent, its minion or
  /// its path to the store.
  bool LeavesAgentsAlone() const;

  /// \returns a line for each fault, with the time since Start().
  const std::vector<std::string>& history() const { return history_; }

 private:
  struct fault_kind {
    const char* group;
    const char* name;
    void (fault_series::*inflict)();
  };
  static const std::vector<fault_kind>& Kinds();

  void FreezeEntry();
  void FreezeEntryForLong();
  void FreezeAllEntries();
  void ThrottleEntry();
  void KillEntry();
  void TerminateEntry();
  void FreezeAgent();
  void FreezeAgents();
  void ThrottleAgent();
  void KillAgent();
  void TerminateAgent();
  void PowerOffDataCentre();
  void CrashMinion();
  void MakeOrdersLate();
  void LoseAnswers();
  void CutLink();
  void CutOffEntry();
  void SuspendEntry();
  void CutOneWay();
  void SilenceConnections();
  void ResetConnections();
  void CutStore();
  void ChangeConfig();
  void TakeOutDataCentre();
  void TakeOutDataCentreForLong();
  void RejectEntries();

  void InflictNext();
  std::chrono::milliseconds Between(int least_ms, int most_ms);
  void After(std::chrono::milliseconds delay, std::function<void()> action);
  /// Cuts \p harmed both ways.
  void CutFor(link& harmed, std::chrono::milliseconds duration);
  void CutOffFor(entry_node& entry, std::chrono::milliseconds duration);
  void TakeOutFor(std::chrono::milliseconds duration);
  void FreezeFor(role_process& process, std::chrono::milliseconds duration);
  void Throttle(role_process& process);
  void KillFor(role_process& process, std::chrono::milliseconds duration);
  void TerminateAndRestart(role_process& process);
  void RestartAfterEnd(role_process& process);
  void CrashFor(soak_minion& minion, std::chrono::milliseconds duration);
  void Note(const QString& target);
  entry_node& AnyEntry();
  agent_node& AnyAgent();
  link::direction AnyDirection();

  fleet& site_;
  const clock& time_;
  random_source& random_;
  std::vector<const fault_kind*> kinds_;
  QTimer next_;
  std::chrono::milliseconds min_gap_{};
  std::chrono::milliseconds max_gap_{};
  steady_time begin_;
  std::vector<std::string> history_;
};

}  // namespace jayrill::soak

#endif  // TESTS_SOAK_FAULTS_H_
