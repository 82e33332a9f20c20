#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <deque>
#include <memory>
#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "agent_core_rig.h"
#include "jayrill/agent/out_list_refresh.h"
#include "jayrill/config/known_out_list.h"

namespace jayrill {
namespace {

/// Limits of the users: `evacuate_ms`, and `contact_ms`, for which an agent
/// must have had a path to the store to count as in touch.
constexpr milliseconds kEvacuateLimit{5000};
constexpr milliseconds kContact{3000};

constexpr milliseconds kStep{10};
constexpr milliseconds kDay{40'000};
/// Time between two polls of an entry that the store does not reject.
constexpr milliseconds kPollTime{700};
constexpr milliseconds kHeartbeat{1000};
constexpr milliseconds kLongestDelay{60};
constexpr std::array kZones = {"east", "west", "north"};
constexpr std::size_t kAgentsPerZone = 2;

/// What the store rejects on a day.
struct day_case {
  const char* name;
  bool rejects_entries = false;
  bool rejects_agents = false;
  bool loses_answers = false;
  bool all_zones = false;  ///< All data centres are taken out at once.
};

void PrintTo(const day_case& param, std::ostream* out) {
  *out << param.name;
}

/// Times in which something is rejected.
class outages {
 public:
  void Add(steady_time begin, steady_time end) {
    spans_.push_back({begin, end});
  }
  bool Overlaps(steady_time begin, steady_time end) const {
    return std::any_of(spans_.begin(), spans_.end(), [&](const auto& span) {
      return span.first <= end && begin <= span.second;
    });
  }

 private:
  std::vector<std::pair<steady_time, steady_time>> spans_;
};

/// Something that happens later, for example the arrival of a message.
struct event {
  steady_time when;
  std::function<void()> run;
};

/// An entry: follows the store unless that rejects it.
struct model_entry {
  incarnation id;
  known_out_list known;
  outages rejected;
  bool is_polling = false;
};

struct model_agent {
  std::string zone;
  std::unique_ptr<recording_host> host;
  std::unique_ptr<agent_core> core;
  std::unique_ptr<out_list_refresh> refresh;
  outages rejected;
  std::vector<connection_epoch> epochs;  ///< By entry.
  std::vector<steady_time> next_report;
  std::vector<out_list> entry_lists;  ///< That each entry has sent last.
  std::uint64_t last_start = 0;
  bool was_out = false;
  int changes = 0;
};

/// A store whose operator takes data centres out and in, the entries that
/// follow it, and agents. Nothing but the store is disturbed.
class evacuation_day {
 public:
  evacuation_day(const day_case& day, std::uint64_t seed)
      : day_(day), random_(seed), begin_(time_.Now()) {
    time_.Advance(kStep);
    const std::size_t entries = 1 + random_.Below(3);
    for (std::size_t i = 0; i < entries; ++i) {
      entries_.push_back({incarnation{i + 1}, {}, {}, false});
      if (day.rejects_entries) {
        AddOutages(entries_.back().rejected);
      }
    }
    for (const char* const zone : kZones) {
      for (std::size_t i = 0; i < kAgentsPerZone; ++i) {
        AddAgent(zone);
      }
    }
    PlanEvacuations();
  }

  void Run() {
    while (time_.Now() < begin_ + kDay) {
      time_.Advance(kStep);
      RunEvents();
      for (model_entry& entry : entries_) {
        Poll(entry);
      }
      for (model_agent& agent : agents_) {
        Step(agent);
      }
    }
  }

  int starts() const { return starts_; }
  int late_starts() const { return late_starts_; }
  int late_refusals() const { return late_refusals_; }
  int needless_changes() const { return needless_changes_; }
  int reads() const { return reads_; }

 private:
  milliseconds Below(milliseconds bound) {
    return milliseconds(
        random_.Below(static_cast<std::uint64_t>(bound.count())));
  }

  void After(milliseconds delay, std::function<void()> run) {
    events_.push_back({time_.Now() + delay, std::move(run)});
  }

  void RunEvents() {
    std::deque<event> due;
    for (auto it = events_.begin(); it != events_.end();) {
      if (it->when <= time_.Now()) {
        due.push_back(std::move(*it));
        it = events_.erase(it);
      } else {
        ++it;
      }
    }
    for (const event& one : due) {
      one.run();
    }
  }

  void AddOutages(outages& target) {
    for (std::uint64_t i = 1 + random_.Below(3); i > 0; --i) {
      const steady_time begin = begin_ + Below(kDay);
      target.Add(begin, begin + Below(milliseconds(25'000)));
    }
  }

  void AddAgent(const std::string& zone) {
    model_agent agent;
    agent.zone = zone;
    agent.host = std::make_unique<recording_host>();
    agent_settings settings;
    settings.data_centre = zone;
    agent.core = std::make_unique<agent_core>(settings, time_, *agent.host);
    agent.refresh =
        std::make_unique<out_list_refresh>(time_, random_source(random_()));
    cluster_config config;
    config.revision = {1};
    agent.core->OfferConfig({config.revision, PackConfig(config)});
    for (const model_entry& entry : entries_) {
      agent.epochs.push_back(agent.core->Connect(entry.id).epoch);
      agent.core->Welcome(entry.id, false);
      agent.next_report.push_back(time_.Now() + Below(kHeartbeat));
      agent.entry_lists.emplace_back();
    }
    if (day_.rejects_agents) {
      AddOutages(agent.rejected);
    }
    agents_.push_back(std::move(agent));
  }

  /// Takes data centres out and in at random times.
  void PlanEvacuations() {
    for (std::size_t zone = 0; zone < kZones.size(); ++zone) {
      steady_time when =
          begin_ + milliseconds(4000) + Below(milliseconds(9000));
      if (day_.all_zones) {
        when = begin_ + milliseconds(9000);
      }
      bool out = true;
      while (when < begin_ + kDay) {
        events_.push_back({when, [this, zone, out] { Operate(zone, out); }});
        when += milliseconds(300) + Below(milliseconds(14'000));
        out = !out;
      }
    }
  }

  void Operate(std::size_t zone, bool out) {
    ++stored_.revision.value;
    if (out) {
      stored_.data_centres.insert(kZones.at(zone));
    } else {
      stored_.data_centres.erase(kZones.at(zone));
    }
    changed_[kZones.at(zone)] = time_.Now();
    ++changes_[kZones.at(zone)];
  }

  bool IsRejected(const outages& rejected) const {
    return rejected.Overlaps(time_.Now(), time_.Now());
  }

  void Poll(model_entry& entry) {
    if (entry.is_polling || IsRejected(entry.rejected)) {
      return;
    }
    entry.is_polling = true;
    const steady_time asked = time_.Now();
    After(kPollTime + Below(kLongestDelay), [this, &entry, asked] {
      entry.is_polling = false;
      if (!IsRejected(entry.rejected)) {
        entry.known.Offer(stored_, asked);
      }
    });
  }

  void Step(model_agent& agent) {
    const steady_time now = time_.Now();
    if ((now - begin_) % milliseconds(100) == steady_duration::zero()) {
      agent.core->Announce(Minion(8));
      agent.core->Tick();
      ReadStoreIfDue(agent);
    }
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      if (now >= agent.next_report[i]) {
        agent.next_report[i] = now + kHeartbeat;
        Report(agent, i);
      }
    }
    if ((now - begin_) % milliseconds(50) == steady_duration::zero()) {
      SendStart(agent, random_.Below(entries_.size()));
    }
    CountChanges(agent);
  }

  void ReadStoreIfDue(model_agent& agent) {
    const auto confirmed = agent.core->data_centres_out().confirmed();
    if (agent.refresh->ShouldAskEntry(confirmed)) {
      Report(agent, random_.Below(entries_.size()));
    }
    const auto limit = agent.refresh->Tick(confirmed);
    if (!limit) {
      return;
    }
    ++reads_;
    const bool is_lost = day_.loses_answers && random_.Below(4) == 0;
    const bool fails = IsRejected(agent.rejected);
    After(is_lost ? *limit : Below(kLongestDelay), [&agent, this, is_lost,
                                                    fails] {
      const steady_time began = agent.refresh->OnReadEnded(!is_lost && !fails);
      if (!is_lost && !fails) {
        agent.core->OfferOutList(stored_, began);
      }
    });
  }

  /// Sends a report to an entry, which answers with what it knows.
  void Report(model_agent& agent, std::size_t index) {
    const steady_time sent = time_.Now();
    After(Below(kLongestDelay), [this, &agent, index, sent] {
      model_entry& entry = entries_[index];
      entry.known.Offer(agent.core->data_centres_out().list());
      const out_list answer = entry.known.list();
      std::optional<steady_time> confirmed;
      if (entry.known.confirmed()) {
        confirmed = sent - (time_.Now() - *entry.known.confirmed());
      }
      After(Below(kLongestDelay), [&agent, answer, confirmed] {
        agent.core->OfferOutList(answer, confirmed);
      });
    });
  }

  /// Entries start tasks everywhere, as one does that has missed a change.
  void SendStart(model_agent& agent, std::size_t index) {
    start_request order = Order(++agent.last_start);
    agent.core->AdmitBatch(entries_[index].id,
                           {{1}, agent.epochs[index], {order}});
    const bool has_started = !agent.host->calls.empty();
    for (const task_call& call : std::exchange(agent.host->calls, {})) {
      task_result result;
      result.outcome = task_outcome::kSucceeded;
      agent.core->OnResult(call.id, result);
      agent.core->OnSlotFree(call.id);
    }
    agent.core->Session(entries_[index].id).DropResults();
    Check(agent, has_started);
  }

  void Check(const model_agent& agent, bool has_started) {
    const steady_time now = time_.Now();
    starts_ += has_started ? 1 : 0;
    const auto changed = changed_.find(agent.zone);
    const bool is_in_touch = now >= begin_ + kContact + kHeartbeat &&
                             !agent.rejected.Overlaps(now - kContact, now);
    if (changed == changed_.end() || !is_in_touch ||
        now <= changed->second + kEvacuateLimit) {
      return;
    }
    const bool is_out = stored_.data_centres.contains(agent.zone);
    late_starts_ += is_out && has_started ? 1 : 0;
    late_refusals_ += !is_out && !has_started ? 1 : 0;
  }

  /// An agent sees each change of the store at most once.
  void CountChanges(model_agent& agent) {
    const bool is_out = agent.core->data_centres_out().IsOut(agent.zone);
    agent.changes += std::exchange(agent.was_out, is_out) != is_out ? 1 : 0;
    needless_changes_ += agent.changes > changes_[agent.zone] ? 1 : 0;
  }

  const day_case day_;
  random_source random_;
  manual_clock time_;
  const steady_time begin_;
  out_list stored_{{1}, {}};
  std::map<std::string, steady_time> changed_;  ///< When each data centre was.
  std::map<std::string, int> changes_;
  std::deque<model_entry> entries_;
  std::deque<model_agent> agents_;
  std::vector<event> events_;
  int starts_ = 0;
  int late_starts_ = 0;
  int late_refusals_ = 0;
  int needless_changes_ = 0;
  int reads_ = 0;
};

class evacuation_property_test : public testing::TestWithParam<day_case> {};

// Guards against starts in a data centre that was taken out more than the limit
// before, by an agent that the store serves while it rejects others, against an
// agent that stays shut after the end, against one that goes back to an older
// state, and against reads of the store while it serves the entries.
TEST_P(evacuation_property_test, HoldsForAgentsThatTheStoreServes) {
  const day_case& kind = GetParam();
  const bool is_sound = !kind.rejects_entries;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    evacuation_day day(kind, seed);
    day.Run();
    EXPECT_TRUE(!is_sound || day.reads() == 0) << "seed " << seed;
    EXPECT_GT(day.starts(), 0) << "seed " << seed;
    EXPECT_EQ(day.late_starts(), 0) << "seed " << seed;
    EXPECT_EQ(day.late_refusals(), 0) << "seed " << seed;
    EXPECT_EQ(day.needless_changes(), 0) << "seed " << seed;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Days,
    evacuation_property_test,
    testing::Values(day_case{"sound"},
                    day_case{"entries_rejected", true},
                    day_case{"agents_rejected", false, true},
                    day_case{"both_rejected", true, true},
                    day_case{"answers_lost", true, false, true},
                    day_case{"all_zones", true, true, true, true}),
    [](const auto& tested) { return tested.param.name; });

}  // namespace
}  // namespace jayrill
