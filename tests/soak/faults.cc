#include "faults.h"

#include <algorithm>
#include <cstdio>
#include <set>
#include <utility>

namespace jayrill::soak {

namespace {

using std::chrono::milliseconds;

constexpr double kLateShare = 0.5;
constexpr double kLostAnswerShare = 0.3;

}  // namespace

const std::vector<fault_series::fault_kind>& fault_series::Kinds() {
  using self = fault_series;
  static const std::vector<fault_kind> kKinds{
      {"freeze", "freeze entry", &self::FreezeEntry},
      {"freeze", "freeze all entries", &self::FreezeAllEntries},
      {"long-freeze", "freeze entry for long", &self::FreezeEntryForLong},
      {"throttle", "throttle entry", &self::ThrottleEntry},
      {"kill", "kill entry", &self::KillEntry},
      {"stop", "terminate entry", &self::TerminateEntry},
      {"freeze-agents", "freeze agent", &self::FreezeAgent},
      {"freeze-agents", "freeze agents", &self::FreezeAgents},
      {"throttle", "throttle agent", &self::ThrottleAgent},
      {"kill", "kill agent", &self::KillAgent},
      {"stop", "terminate agent", &self::TerminateAgent},
      {"power", "power off data centre", &self::PowerOffDataCentre},
      {"minions", "crash minion", &self::CrashMinion},
      {"minions", "late orders", &self::MakeOrdersLate},
      {"minions", "lost answers", &self::LoseAnswers},
      {"links", "cut link", &self::CutLink},
      {"links", "cut one way", &self::CutOneWay},
      {"links", "silence connections", &self::SilenceConnections},
      {"links", "reset connections", &self::ResetConnections},
      {"cut-off", "cut off entry", &self::CutOffEntry},
      {"suspend", "suspend machine of entry", &self::SuspendEntry},
      {"store", "cut store", &self::CutStore},
      {"changes", "change configuration", &self::ChangeConfig},
      {"changes", "take out data centre", &self::TakeOutDataCentre},
      {"rejection", "store rejects entries", &self::RejectEntries},
      {"rejection", "take out data centre for long",
       &self::TakeOutDataCentreForLong},
  };
  return kKinds;
}

std::vector<std::string> fault_series::Groups() {
  std::set<std::string> groups;
  for (const fault_kind& kind : Kinds()) {
    groups.insert(kind.group);
  }
  return {groups.begin(), groups.end()};
}

fault_series::fault_series(fleet& site,
                           const std::vector<std::string>& groups,
                           const clock& time,
                           random_source& random)
    : site_(site), time_(time), random_(random) {
  for (const fault_kind& kind : Kinds()) {
    if (groups.empty() ||
        std::find(groups.begin(), groups.end(), kind.group) != groups.end()) {
      kinds_.push_back(&kind);
    }
  }
  next_.setSingleShot(true);
  connect(&next_, &QTimer::timeout, this, [this] { InflictNext(); });
}

void fault_series::Start(milliseconds min_gap, milliseconds max_gap) {
  min_gap_ = min_gap;
  max_gap_ = max_gap;
  begin_ = time_.Now();
  if (!kinds_.empty()) {
    next_.start(min_gap);
  }
}

void fault_series::InflictNext() {
  const fault_kind& kind = *kinds_[random_.Below(kinds_.size())];
  history_.emplace_back(kind.name);
  (this->*kind.inflict)();
  next_.start(Between(static_cast<int>(min_gap_.count()),
                      static_cast<int>(max_gap_.count())));
}

void fault_series::Note(const QString& target) {
  const double at = std::chrono::duration<double>(time_.Now() - begin_).count();
  constexpr int kWidth = 32;
  char text[kWidth];
  std::snprintf(text, sizeof(text), "%7.3f s  ", at);
  history_.back() = text + history_.back() + " " + target.toStdString();
}

milliseconds fault_series::Between(int least_ms, int most_ms) {
  const int range = most_ms - least_ms + 1;
  return milliseconds(least_ms + static_cast<int>(random_.Below(
                                     static_cast<std::uint64_t>(range))));
}

void fault_series::After(milliseconds delay, std::function<void()> action) {
  QTimer::singleShot(delay, Qt::PreciseTimer, this, std::move(action));
}

entry_node& fault_series::AnyEntry() {
  return site_.entries()[random_.Below(site_.entries().size())];
}

agent_node& fault_series::AnyAgent() {
  return site_.agents()[random_.Below(site_.agents().size())];
}

link::direction fault_series::AnyDirection() {
  return random_.Below(2) == 0 ? link::direction::kToTarget
                               : link::direction::kFromTarget;
}

void fault_series::FreezeFor(role_process& process, milliseconds duration) {
  process.Freeze();
  After(duration, [&process] { process.Thaw(); });
}

void fault_series::Throttle(role_process& process) {
  // A quota of processor time: the process runs in a part of each tenth of a
  // second only.
  constexpr milliseconds kPeriod{100};
  const milliseconds stopped = Between(60, 95);
  const int periods = static_cast<int>(Between(1000, 5000) / kPeriod);
  for (int i = 0; i < periods; ++i) {
    After(kPeriod * i,
          [this, &process, stopped] { FreezeFor(process, stopped); });
  }
}

void fault_series::KillFor(role_process& process, milliseconds duration) {
  process.Kill();
  After(duration, [&process] { process.Start(); });
}

void fault_series::TerminateAndRestart(role_process& process) {
  process.Terminate();
  RestartAfterEnd(process);
}

void fault_series::RestartAfterEnd(role_process& process) {
  constexpr milliseconds kRestartDelay{200};
  After(kRestartDelay, [this, &process] {
    if (process.IsAlive()) {
      RestartAfterEnd(process);
    } else {
      process.Start();
    }
  });
}

void fault_series::CrashFor(soak_minion& minion, milliseconds duration) {
  if (!minion.is_up()) {
    return;
  }
  minion.Crash();
  After(duration, [&minion] { minion.Restart(); });
}

void fault_series::FreezeEntry() {
  entry_node& entry = AnyEntry();
  Note(entry.name);
  FreezeFor(*entry.process, Between(200, 4000));
}

void fault_series::FreezeEntryForLong() {
  // Callers leave, submit their jobs elsewhere, and these run when it wakes.
  entry_node& entry = AnyEntry();
  Note(entry.name);
  FreezeFor(*entry.process, Between(3000, 4000));
}

void fault_series::FreezeAllEntries() {
  const milliseconds duration = Between(100, 2500);
  Note({});
  for (entry_node& entry : site_.entries()) {
    FreezeFor(*entry.process, duration);
  }
}

void fault_series::ThrottleEntry() {
  entry_node& entry = AnyEntry();
  Note(entry.name);
  Throttle(*entry.process);
}

void fault_series::KillEntry() {
  entry_node& entry = AnyEntry();
  Note(entry.name);
  KillFor(*entry.process, Between(100, 2000));
}

void fault_series::TerminateEntry() {
  entry_node& entry = AnyEntry();
  Note(entry.name);
  TerminateAndRestart(*entry.process);
}

void fault_series::FreezeAgent() {
  agent_node& agent = AnyAgent();
  Note(agent.name);
  FreezeFor(*agent.process, Between(200, 4000));
}

void fault_series::FreezeAgents() {
  Note({});
  for (agent_node& agent : site_.agents()) {
    if (random_.Below(2) == 0) {
      FreezeFor(*agent.process, Between(50, 1500));
    }
  }
}

void fault_series::ThrottleAgent() {
  agent_node& agent = AnyAgent();
  Note(agent.name);
  Throttle(*agent.process);
}

void fault_series::KillAgent() {
  agent_node& agent = AnyAgent();
  Note(agent.name);
  KillFor(*agent.process, Between(50, 2000));
}

void fault_series::TerminateAgent() {
  agent_node& agent = AnyAgent();
  Note(agent.name);
  TerminateAndRestart(*agent.process);
}

void fault_series::PowerOffDataCentre() {
  const QString& dark =
      site_.data_centres()[random_.Below(site_.data_centres().size())];
  const milliseconds duration = Between(500, 3000);
  Note(dark);
  for (entry_node& entry : site_.entries()) {
    if (entry.data_centre == dark) {
      const milliseconds until_back = duration + Between(0, 1500);
      KillFor(*entry.process, until_back);
      // A machine without power does not refuse connections.
      CutFor(*entry.callers_link, until_back);
    }
  }
  for (agent_node& agent : site_.agents()) {
    if (agent.data_centre == dark) {
      KillFor(*agent.process, duration + Between(0, 1500));
      CrashFor(*agent.minion, duration + Between(0, 1500));
    }
  }
}

void fault_series::CrashMinion() {
  agent_node& agent = AnyAgent();
  Note(agent.name);
  CrashFor(*agent.minion, Between(100, 3000));
}

void fault_series::MakeOrdersLate() {
  agent_node& agent = AnyAgent();
  Note(agent.name);
  agent.minion->SetLateShare(kLateShare);
  After(Between(500, 4000), [&agent] { agent.minion->SetLateShare(0); });
}

void fault_series::LoseAnswers() {
  agent_node& agent = AnyAgent();
  Note(agent.name);
  agent.minion->SetLostAnswerShare(kLostAnswerShare);
  After(Between(500, 4000), [&agent] { agent.minion->SetLostAnswerShare(0); });
}

void fault_series::CutLink() {
  entry_node& entry = AnyEntry();
  Note(entry.name);
  CutFor(*entry.agents_link, Between(100, 4000));
}

void fault_series::CutOffEntry() {
  // Neither agents nor callers reach the entry, nor it them.
  entry_node& entry = AnyEntry();
  Note(entry.name);
  CutOffFor(entry, Between(1000, 4000));
}

void fault_series::SuspendEntry() {
  // Its kernel stands still as well, so nothing is accepted meanwhile.
  entry_node& entry = AnyEntry();
  Note(entry.name);
  const milliseconds duration = Between(1000, 4000);
  FreezeFor(*entry.process, duration);
  CutOffFor(entry, duration);
}

void fault_series::CutOffFor(entry_node& entry, milliseconds duration) {
  CutFor(*entry.agents_link, duration);
  CutFor(*entry.callers_link, duration);
}

void fault_series::CutFor(link& harmed, milliseconds duration) {
  for (const auto way :
       {link::direction::kToTarget, link::direction::kFromTarget}) {
    harmed.Cut(way);
    After(duration, [&harmed, way] { harmed.Heal(way); });
  }
}

void fault_series::CutOneWay() {
  entry_node& entry = AnyEntry();
  Note(entry.name);
  link& harmed = *entry.agents_link;
  const link::direction way = AnyDirection();
  harmed.Cut(way);
  After(Between(100, 4000), [&harmed, way] { harmed.Heal(way); });
}

void fault_series::SilenceConnections() {
  entry_node& entry = AnyEntry();
  Note(entry.name);
  entry.agents_link->SilenceOpenConnections(AnyDirection());
}

void fault_series::ResetConnections() {
  entry_node& entry = AnyEntry();
  Note(entry.name);
  entry.agents_link->ResetOpenConnections();
}

void fault_series::CutStore() {
  Note({});
  const link::direction way = AnyDirection();
  site_.store_link().Cut(way);
  After(Between(500, 4000), [this, way] { site_.store_link().Heal(way); });
}

void fault_series::ChangeConfig() {
  Note({});
  site_.ChangeConfig();
}

void fault_series::TakeOutDataCentre() {
  TakeOutFor(Between(500, 4000));
}

void fault_series::TakeOutDataCentreForLong() {
  TakeOutFor(Between(6000, 9000));
}

void fault_series::TakeOutFor(milliseconds duration) {
  const QString out =
      site_.data_centres()[random_.Below(site_.data_centres().size())];
  Note(out);
  site_.TakeOut(out);
  After(duration, [this, out] { site_.TakeIn(out); });
}

void fault_series::RejectEntries() {
  constexpr std::uint64_t kAllShare = 2;  // All entries every second time.
  const bool all = random_.Below(kAllShare) == 0;
  const bool resets = random_.Below(2) == 0;
  const milliseconds duration = Between(5000, 10'000);
  const QString one = AnyEntry().name;
  Note(all ? QStringLiteral("all") : one);
  for (entry_node& entry : site_.entries()) {
    if (!all && entry.name != one) {
      continue;
    }
    if (resets) {
      entry.store_link->Refuse();
      After(duration, [&entry] { entry.store_link->Admit(); });
    } else {
      CutFor(*entry.store_link, duration);
    }
  }
}

bool fault_series::LeavesAgentsAlone() const {
  static const std::set<std::string> kGroups{
      "changes",     "cut-off",   "freeze", "links",
      "long-freeze", "rejection", "suspend"};
  return std::all_of(kinds_.begin(), kinds_.end(), [](const fault_kind* kind) {
    return kGroups.contains(kind->group);
  });
}

}  // namespace jayrill::soak
