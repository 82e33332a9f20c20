#include "jayrill/config.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "jayrill/base.h"
#include "manual_scheduler.h"
#include "random_faults.h"

namespace jayrill {
namespace {

using std::chrono::milliseconds;

config_change Change(config_change::action_type action) {
  return {std::move(action), "ana", "test", std::nullopt, 1};
}

/// \returns a configuration of five changes. Revision 1 sets profile/fast, 2
/// service/quotes, 3 and 4 the data centres a and b, 5 team/x.
cluster_config BaseConfig() {
  cluster_config config;
  const config_change::action_type actions[] = {
      set_profile{"fast", {}}, bind_service{"quotes", "fast"},
      declare_data_centre{"a"}, declare_data_centre{"b"},
      set_team_quota{"x", 8}};
  for (const auto& action : actions) {
    config = *ApplyChange(config, Change(action), wall_time());
  }
  return config;
}

profile WithUrgency(std::uint32_t urgency) {
  profile value;
  value.urgency = urgency;
  return value;
}

struct change_case {
  config_change::action_type action;
  std::optional<error_kind> failure;
  std::optional<std::uint64_t> base = std::nullopt;
};

class change_test : public testing::TestWithParam<change_case> {};

// Guards against accepting a configuration that breaks a rule, and against a
// change that overwrites one that its operator has not seen.
TEST_P(change_test, IsValidatedAsAWhole) {
  const cluster_config before = BaseConfig();
  config_change change = Change(GetParam().action);
  if (GetParam().base) {
    change.base_revision = config_revision{*GetParam().base};
  }
  const auto after = ApplyChange(before, change, wall_time());
  ASSERT_EQ(after.has_value(), !GetParam().failure.has_value());
  if (!after) {
    EXPECT_EQ(after.error().kind, *GetParam().failure);
    EXPECT_FALSE(after.error().remedy.empty());
    return;
  }
  EXPECT_EQ(after->revision.value, before.revision.value + 1);
  EXPECT_EQ(after->audit.size(), before.audit.size() + 1);
  EXPECT_EQ(after->audit.back().item, ItemOf(change));
  EXPECT_NE(after->audit.back().before + after->audit.back().after, "");
}

constexpr error_kind kInvalid = error_kind::kInvalidArgument;
constexpr error_kind kConflict = error_kind::kConflict;
constexpr error_kind kMissing = error_kind::kNotFound;

INSTANTIATE_TEST_SUITE_P(
    all,
    change_test,
    testing::Values(
        change_case{set_profile{"slow", WithUrgency(100)}, {}},
        change_case{set_profile{"slow", WithUrgency(101)}, kInvalid},
        change_case{set_profile{"", {}}, kInvalid},
        change_case{set_profile{".hidden", {}}, kInvalid},
        change_case{set_profile{"two words", {}}, kInvalid},
        change_case{set_profile{std::string(65, 'a'), {}}, kInvalid},
        change_case{set_profile{"fast", {}}, {}, 1},
        change_case{set_profile{"fast", {}}, kConflict, 0},
        change_case{set_profile{"fast", {}}, kInvalid, 6},
        change_case{remove_profile{"fast"}, kInvalid},
        change_case{remove_profile{"none"}, kMissing},
        change_case{bind_service{"quotes", "none"}, kInvalid},
        change_case{bind_service{"grants", "fast"}, {}},
        change_case{unbind_service{"quotes"}, {}},
        change_case{unbind_service{"quotes"}, kConflict, 1},
        change_case{unbind_service{"none"}, kMissing},
        change_case{set_team_quota{"x", 9}, kConflict, 4},
        change_case{remove_team_quota{"x"}, {}, 5},
        change_case{declare_data_centre{"a"}, kConflict},
        change_case{take_data_centre_out{"a"}, {}},
        change_case{take_data_centre_out{"none"}, kMissing},
        change_case{bring_data_centre_in{"b"}, {}}));

// Guards against taking the last data centre out of service without force, and
// against missing the conflict with a removal after the base revision.
TEST(apply_change_test, KnowsLastDataCentreAndRemovedItems) {
  auto config = *ApplyChange(BaseConfig(), Change(take_data_centre_out{"a"}),
                             wall_time());
  EXPECT_TRUE(config.IsOut("a"));
  EXPECT_FALSE(ApplyChange(config, Change(take_data_centre_out{"b"}), {}));
  EXPECT_TRUE(ApplyChange(config, Change(take_data_centre_out{"b", true}), {}));
  config = *ApplyChange(config, Change(remove_team_quota{"x"}), {});
  config_change again = Change(set_team_quota{"x", 1});
  again.base_revision = config_revision{6};
  const auto conflict = ApplyChange(config, again, {});
  ASSERT_FALSE(conflict.has_value());
  EXPECT_EQ(conflict.error().kind, kConflict);
  EXPECT_NE(conflict.error().message.find("absent"), std::string::npos);
  EXPECT_NE(conflict.error().message.find(R"({"max_running":1})"),
            std::string::npos);
  again.reason.clear();
  EXPECT_EQ(ApplyChange(config, again, {}).error().kind, kInvalid);
}

// Guards against losing a field when a configuration is encoded and decoded,
// and against reading damaged text as an empty configuration.
TEST(config_codec_test, KeepsEveryFieldAndRefusesDamage) {
  cluster_config config = BaseConfig();
  config.profiles["fast"] = {7, {1, 2, milliseconds(3)}, {{"a"}, 4, 5, 6}, {}};
  config.audit.back().token = ~0ULL;
  const std::string text = EncodeConfig(config, audit_trail::kIncluded);
  EXPECT_EQ(DecodeConfig(text), config);
  EXPECT_EQ(DecodeAudit(EncodeAudit(config.audit)), config.audit);
  const auto bare = DecodeConfig(EncodeConfig(config, audit_trail::kOmitted));
  EXPECT_TRUE(bare->audit.empty());
  EXPECT_TRUE(DecodeConfig(R"({"revision":3,"later":[]})").has_value());
  for (const char* damaged :
       {"", "[]", "{}", R"({"revision":-1})", R"({"revision":1.5})",
        R"({"revision":1,"teams":{"x":{"max_running":"8"}}})",
        R"({"revision":1,"data_centres":{"a":{}}})",
        R"({"revision":1,"profiles":[]})"}) {
    EXPECT_FALSE(DecodeConfig(damaged).has_value()) << damaged;
  }
  EXPECT_FALSE(DecodeConfig(text.substr(0, text.size() / 2)).has_value());
}

// Guards against a late message that reverts an accepted change.
TEST(config_holder_test, OnlyMovesUp) {
  config_holder holder;
  const auto offer = [&](std::uint64_t revision) {
    cluster_config config;
    config.revision.value = revision;
    return holder.Offer(std::make_shared<const cluster_config>(config));
  };
  EXPECT_TRUE(offer(2));
  EXPECT_FALSE(offer(2));
  EXPECT_FALSE(offer(1));
  EXPECT_FALSE(holder.Offer(nullptr));
  EXPECT_EQ(holder.revision().value, 2U);
}

/// Simulates three entries that share one store, and records what their
/// operators were told.
struct config_simulation {
  explicit config_simulation(std::uint64_t seed) : random(seed) {
    // Close to kMaxAuditRecords, so that runs archive records.
    cluster_config config = BaseConfig();
    while (config.audit.size() < 195) {
      config = *ApplyChange(config, Change(set_team_quota{"x", 1}), {});
    }
    initial = config.revision;
    backing.CompareAndSwap(kConfigKey, {},
                           EncodeConfig(config, audit_trail::kIncluded), {},
                           [](const auto&) {});
    timers.RunFor(milliseconds(1));
    for (std::size_t i = 0; i < 3; ++i) {
      entries.emplace_back();
      Start(i);
    }
  }

  void Start(std::size_t entry) {
    auto last = std::make_shared<config_revision>();
    entries[entry] = std::make_unique<config_store>(
        backing, timers, time, random_source(random()),
        config_store::listener{[last](const config_holder::shared& config) {
                                 RC_ASSERT(config->revision > *last);
                                 *last = config->revision;
                               },
                               [this, entry] { ++confirmed[entry]; }});
  }

  void Submit(std::size_t entry) {
    const std::string reason = "change " + std::to_string(++submitted);
    config_change change = Change(
        set_team_quota{std::string(1, static_cast<char>('u' + random.Below(4))),
                       static_cast<std::uint32_t>(submitted)});
    change.reason = reason;
    if (random.Below(3) == 0) {
      change.base_revision = entries[entry]->current()->revision;
    }
    entries[entry]->Submit(
        change, [this, reason](const result<config_revision>& r) {
          if (r) {
            accepted[reason] = *r;
          } else if (r.error().kind != error_kind::kUnknownOutcome) {
            refused.insert(reason);
          }
        });
  }

  manual_clock time;
  manual_scheduler timers{time};
  memory_store backing{timers, time};
  random_source random;
  std::vector<std::unique_ptr<config_store>> entries;
  std::map<std::size_t, int> confirmed;
  config_revision initial;
  int submitted = 0;
  std::map<std::string, config_revision> accepted;
  std::set<std::string> refused;
};

// Guards against accepted changes that are lost, repeated or reverted, and
// against a refused change that takes effect, when entries race under lost
// answers, late writes, outages and crashes.
RC_GTEST_PROP(config_store_property,
              AcceptedChangesAppearExactlyOnce,
              (std::uint64_t seed)) {
  config_simulation world(seed);
  world.backing.set_fault_plan(RandomFaults(world.random, 30));
  for (int step = 0; step < 60; ++step) {
    const std::size_t entry = world.random.Below(3);
    switch (world.random.Below(12)) {
      case 0:
        world.backing.set_down(world.random.Below(2) == 0);
        break;
      case 1:
        world.Start(entry);
        break;
      default:
        world.Submit(entry);
        break;
    }
    world.timers.RunFor(milliseconds(world.random.Below(500)));
  }
  world.backing.set_down(false);
  world.backing.set_fault_plan(nullptr);
  world.timers.RunFor(milliseconds(20'000));
  const auto current = world.entries[0]->current();
  for (std::size_t i = 0; i < 3; ++i) {
    RC_ASSERT(*world.entries[i]->current() == *current);
    RC_ASSERT(world.confirmed[i] > 0);
  }
  std::vector<audit_record> trail;
  world.entries[0]->ReadAudit([&](const auto& got) {
    if (got) {
      trail = *got;
    }
  });
  world.timers.RunFor(milliseconds(100));
  std::map<std::string, config_revision> seen;
  RC_ASSERT(current->audit.size() <= kMaxAuditRecords);
  RC_ASSERT(trail.size() == current->revision.value);
  for (std::size_t i = 0; i < trail.size(); ++i) {
    RC_ASSERT(trail[i].revision.value == i + 1);
    if (trail[i].revision > world.initial) {
      RC_ASSERT(seen.emplace(trail[i].reason, trail[i].revision).second);
    }
  }
  for (const auto& [reason, revision] : world.accepted) {
    RC_ASSERT(seen.contains(reason) && seen[reason] == revision);
  }
  for (const std::string& reason : world.refused) {
    RC_ASSERT(!seen.contains(reason));
  }
  // The quota of each team is the one that its last change has set.
  std::map<std::string, config_revision> last;
  for (const audit_record& record : trail) {
    last[record.item] = record.revision;
  }
  for (const auto& [name, quota] : current->teams) {
    RC_ASSERT(last["team/" + name] == quota.changed);
    RC_ASSERT(trail[quota.changed.value - 1].after ==
              "{\"max_running\":" + std::to_string(quota.max_running) + "}");
  }
}

// Guards against refusing a change because another one was accepted during its
// read: the value that was read is older than the configuration in force, which
// looks as if the store had lost changes.
TEST(config_store_test, ReadsAgainAfterAChangeDuringTheRead) {
  config_simulation world(1);
  world.timers.RunFor(milliseconds(1'000));
  world.backing.set_fault_plan([](memory_store::operation) {
    return store_fault{store_fault::kind::kNone, {}, milliseconds(500)};
  });
  world.Submit(0);
  world.timers.RunFor(milliseconds(1));
  world.backing.set_fault_plan(nullptr);
  world.Submit(1);
  world.timers.RunFor(milliseconds(2'000));
  EXPECT_TRUE(world.refused.empty());
  EXPECT_EQ(world.accepted.size(), 2U);
}

// Guards against an entry that reports its configuration as confirmed while the
// store is down, and against telling its operator anything but that the change
// was not accepted.
TEST(config_store_test, IsUnconfirmedAndRefusesWhileTheStoreIsDown) {
  config_simulation world(1);
  world.timers.RunFor(milliseconds(3'000));
  EXPECT_GE(world.confirmed[0], 3);
  world.backing.set_down(true);
  world.timers.RunFor(milliseconds(100));
  world.confirmed.clear();
  world.Submit(0);
  world.timers.RunFor(milliseconds(5'000));
  EXPECT_EQ(world.confirmed[0], 0);
  EXPECT_EQ(world.refused.size(), 1U);
  EXPECT_EQ(world.entries[0]->current()->revision, world.initial);
}

// Guards against a configuration change that saturates the network links of
// small entries: each entry sends the configuration to every agent.
TEST(packed_config_test, IsMuchSmallerThanItsJsonForm) {
  cluster_config config;
  for (int i = 0; i < 40; ++i) {
    const std::string name = "queue" + std::to_string(i);
    config.profiles[name].urgency = 50;
    config.routes[name] = {
        "host.example", "/" + name + "/", "quotes", name, {}};
  }
  const std::string packed = PackConfig(config);
  EXPECT_LT(packed.size() * 8,
            EncodeConfig(config, audit_trail::kOmitted).size());
  const auto unpacked = UnpackConfig(packed);
  ASSERT_TRUE(unpacked);
  EXPECT_EQ(*unpacked, config);
}

// Guards against a crash or a large allocation when received bytes are not a
// packed configuration.
TEST(packed_config_test, MalformedBytesAreAnError) {
  const std::string packed = PackConfig({});
  const std::string states_4_gb = "\xff\xff\xff\xff" + packed.substr(4);
  for (const std::string& bytes :
       {std::string(), std::string("{}"), std::string(5, '\0'), states_4_gb,
        packed.substr(0, packed.size() / 2)}) {
    EXPECT_FALSE(UnpackConfig(bytes)) << bytes.size();
  }
}

}  // namespace
}  // namespace jayrill
