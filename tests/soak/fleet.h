#ifndef TESTS_SOAK_FLEET_H_
#define TESTS_SOAK_FLEET_H_

#include <QString>
#include <QTemporaryDir>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "jayrill/base/clock.h"
#include "jayrill/base/random_source.h"
#include "link.h"
#include "review/standin/store.hpp"
#include "role_process.h"
#include "run_log.h"
#include "soak_minion.h"

namespace jayrill::soak {

/// After a broken or missing answer a job is submitted again this much later.
inline constexpr std::chrono::milliseconds kRepeatAfter{1300};

/// No task starts in a data centre later than this after it was taken out.
inline constexpr std::chrono::milliseconds kOutLimit{5000};

/// The end of a caller's connection follows its request this much later at the
/// earliest: a round trip to callers, who are 3 ms away.
inline constexpr std::chrono::milliseconds kCallerRoundTrip{6};

inline constexpr char kHost[] = "desk.example";
inline constexpr char kPrefix[] = "/quotes/";

/// The size of a deployment.
struct fleet_size {
  int data_centres = 3;
  int entries = 3;
  int agents = 10;

  auto operator<=>(const fleet_size&) const = default;
};

/// An entry and the links through which agents and callers reach it.
struct entry_node {
  QString name;
  QString data_centre;
  QString http;
  QString readiness;
  std::unique_ptr<link> agents_link;
  std::unique_ptr<link> callers_link;  ///< As the balancer forwards callers.
  std::unique_ptr<link> store_link;    ///< Of this entry alone.
  std::unique_ptr<role_process> process;
};

/// An agent and the minion beside it.
struct agent_node {
  QString name;
  QString data_centre;
  std::unique_ptr<role_process> process;
  std::unique_ptr<soak_minion> minion;
};

/// A time in which a data centre was out of service.
struct out_time {
  QString data_centre;
  steady_time begin;
  std::optional<steady_time> end;
};

/// A deployment of real processes with the settings of deploy/system.toml, and
/// stand-ins for the store and the minions in this process.
class fleet {
 public:
  /// \param program the program of the product
  /// \param log_directory where the processes write their logs; empty: a
  ///     directory that is removed with this object
  fleet(const fleet_size& size,
        const QString& program,
        const QString& log_directory,
        const clock& time,
        run_log& runs,
        random_source& random);

  /// Runs the event loop until all entries are ready, 30 s at the longest.
  /// \returns false when they are not ready by then.
  bool WaitUntilReady();

  std::vector<entry_node>& entries() { return entries_; }
  std::vector<agent_node>& agents() { return agents_; }
  link& store_link() { return *store_link_; }
  const std::vector<QString>& data_centres() const { return data_centres_; }

  /// Writes the next version of the configuration.
  void ChangeConfig();
  void TakeOut(const QString& data_centre);
  void TakeIn(const QString& data_centre);

  /// \returns the runs in data centres that began later than kOutLimit after
  /// these were taken out, and before they were taken in.
  std::vector<run_record> LateRuns(const run_log& runs) const;

  /// \returns how many processes have ended although nobody asked them to.
  int UnexpectedEnds() const;

 private:
  QString FreeAddress();
  /// Writes the settings file of the agents, which names the store.
  void WriteSettingsFile();
  void AddEntry(int number, const QString& program);
  void AddAgent(int number,
                const QString& program,
                const clock& time,
                run_log& runs,
                random_source& random);

  QTemporaryDir temporary_;
  QString log_directory_;
  std::set<int> given_ports_;
  std::vector<QString> data_centres_;
  const clock& time_;
  std::vector<out_time> out_times_;
  review::store store_;
  std::unique_ptr<link> store_link_;
  std::vector<entry_node> entries_;
  std::vector<agent_node> agents_;
  int config_version_ = 0;
};

/// Runs the event loop for \p duration, or until \p done returns true.
/// \returns whether it did.
bool RunEventLoop(std::chrono::milliseconds duration,
                  const std::function<bool()>& done = {});

}  // namespace jayrill::soak

#endif  // TESTS_SOAK_FLEET_H_
