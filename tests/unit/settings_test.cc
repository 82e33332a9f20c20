#include "jayrill/cli/settings.h"

#include <absl/flags/flag.h>
#include <absl/flags/reflection.h>
#include <gtest/gtest.h>

#include <algorithm>

#include "jayrill/base/endpoint.h"
#include "jayrill/cli/command.h"
#include "jayrill/cli/flags.h"
#include "jayrill/cli/setting_rules.h"

namespace jayrill {
namespace {

using names = std::vector<std::string>;

names NamesOf(const resolved_settings& resolved) {
  names list;
  for (const setting_fault& fault : resolved.faults) {
    list.push_back(fault.name);
  }
  std::sort(list.begin(), list.end());
  return list;
}

std::vector<flag_argument> AgentFlags(std::vector<flag_argument> more) {
  std::vector<flag_argument> flags{{"id", "a1"},
                                   {"data_centre", "dc1"},
                                   {"worker", "w1"},
                                   {"entries", "10.0.0.1:8081"}};
  flags.insert(flags.end(), more.begin(), more.end());
  return flags;
}

struct fault_case {
  const char* name;
  command_set commands;
  std::vector<flag_argument> flags;
  environment_map environment;
  names faults;
};

void PrintTo(const fault_case& value, std::ostream* out) {
  *out << value.name;
}

class settings_fault_test : public testing::TestWithParam<fault_case> {};

// Guards against a role that starts with an invalid setting, and against a
// report of only the first of several faults.
TEST_P(settings_fault_test, ListsAllFaultsAtOnce) {
  const absl::FlagSaver saver;
  const resolved_settings resolved = ResolveSettings(
      GetParam().commands, GetParam().flags, GetParam().environment);
  EXPECT_EQ(NamesOf(resolved), GetParam().faults);
  for (const setting_fault& fault : resolved.faults) {
    EXPECT_FALSE(fault.problem.empty()) << ToString(fault);
    EXPECT_FALSE(fault.remedy.empty()) << ToString(fault);
    EXPECT_FALSE(fault.source.empty()) << ToString(fault);
  }
}

const std::vector<flag_argument> kEntryFlags{
    {"id", "e1"},
    {"data_centre", "dc1"},
    {"store_endpoints", "10.0.0.9:2379"}};
const environment_map kSecret{{"JAYRILL_OPERATOR_SECRET", "s3cret"}};

std::vector<flag_argument> EntryFlags(flag_argument more) {
  std::vector<flag_argument> flags = kEntryFlags;
  flags.push_back(std::move(more));
  return flags;
}

INSTANTIATE_TEST_SUITE_P(
    table,
    settings_fault_test,
    testing::Values(
        fault_case{"agent", kAgent, AgentFlags({}), {}, {}},
        fault_case{"nothing",
                   kAgent,
                   {},
                   {},
                   {"data_centre", "entries", "id", "worker"}},
        fault_case{"several",
                   kAgent,
                   {{"id", "a b"}, {"data_centre", "x"}, {"entries", "h:1"}},
                   {{"JAYRILL_QUEUE_LIMIT", "many"}},
                   {"entries", "id", "queue_limit", "worker"}},
        fault_case{"unknown",
                   kAgent,
                   AgentFlags({{"rakc", "1"}}),
                   {},
                   {"rakc"}},
        fault_case{"foreign",
                   kAgent,
                   AgentFlags({{"slots", "3"}}),
                   {},
                   {"slots"}},
        fault_case{"foreign_variable",
                   kAgent,
                   AgentFlags({}),
                   {{"JAYRILL_SLOTS", "x"}},
                   {}},
        fault_case{"range",
                   kAgent,
                   AgentFlags({{"queue_limit", "0"}}),
                   {},
                   {"queue_limit"}},
        fault_case{"flag_hides_variable",
                   kAgent,
                   AgentFlags({{"queue_limit", "9"}}),
                   {{"JAYRILL_QUEUE_LIMIT", "x"}},
                   {}},
        fault_case{"open_announce",
                   kAgent,
                   AgentFlags({{"announce_listen", "0.0.0.0:1"}}),
                   {},
                   {"announce_listen"}},
        fault_case{"entry", kEntry, kEntryFlags, kSecret, {}},
        fault_case{"no_secret", kEntry, kEntryFlags, {}, {"operator_secret"}},
        fault_case{"secret_flag",
                   kEntry,
                   EntryFlags({"operator_secret", "s3cret"}),
                   kSecret,
                   {"operator_secret"}},
        fault_case{"wildcard",
                   kEntry,
                   EntryFlags({"http_listen", "0.0.0.0:1"}),
                   kSecret,
                   {"http_advertise"}},
        fault_case{"port_0_advertised",
                   kEntry,
                   EntryFlags({"rpc_advertise", "10.0.0.1:0"}),
                   kSecret,
                   {"rpc_advertise"}},
        fault_case{"choice",
                   kEntry,
                   EntryFlags({"placement_strategy", "best"}),
                   kSecret,
                   {"placement_strategy"}},
        fault_case{"load", kLoad, {}, {}, {}},
        fault_case{"load_together",
                   kLoad,
                   {{"tasks_min", "30"},
                    {"fleet", "8"},
                    {"teams", "a:-1"},
                    {"urgencies", "1,2"}},
                   kSecret,
                   {"fleet", "tasks_min", "teams", "urgencies"}},
        fault_case{"not_a_number", kLoad, {{"rate", "nan"}}, {}, {"rate"}}),
    [](const auto& test) { return test.param.name; });

// Guards against a value that is reported with the wrong source, and against a
// secret that is printed.
TEST(settings_test, TellsSourcesAndMasksSecrets) {
  const absl::FlagSaver saver;
  const resolved_settings resolved =
      ResolveSettings(kStandalone, {{"slots", "3"}},
                      {{"JAYRILL_OPERATOR_SECRET", "s3cret"},
                       {"JAYRILL_SLOTS", "4"},
                       {"JAYRILL_SLOWNESS", "2"},
                       {"JAYRILL_SLOT", "5"}});
  ASSERT_TRUE(resolved.faults.empty());
  std::map<std::string_view, std::pair<std::string, setting_source>> seen;
  for (const resolved_setting& item : resolved.settings) {
    seen[item.definition->name] = {item.value, item.source};
    EXPECT_EQ(item.value.find("s3cret"), std::string::npos);
  }
  EXPECT_EQ(seen["slots"], std::pair(std::string("3"), setting_source::kFlag));
  EXPECT_EQ(seen["slowness"],
            std::pair(std::string("2"), setting_source::kEnvironment));
  EXPECT_EQ(seen["http_listen"],
            std::pair(std::string("127.0.0.1:8080"), setting_source::kDefault));
  EXPECT_EQ(absl::GetFlag(FLAGS_operator_secret), "s3cret");
  EXPECT_EQ(resolved.warnings.size(), 1U);
  const resolved_settings refused =
      ResolveSettings(kStandalone, {{"operator_secret", "hidden"}}, {});
  ASSERT_EQ(refused.faults.size(), 1U);
  EXPECT_EQ(ToString(refused.faults[0]).find("hidden"), std::string::npos);
}

// Guards against an unsorted table, in which the binary search of FindSetting
// misses settings, and against defaults outside the allowed range.
TEST(settings_test, TableIsSortedAndDefaultsAreAllowed) {
  const absl::FlagSaver saver;
  const auto settings = AllSettings();
  EXPECT_TRUE(std::is_sorted(
      settings.begin(), settings.end(),
      [](const setting& a, const setting& b) { return a.name < b.name; }));
  EXPECT_TRUE(ResolveSettings(kAnyCommand, {}, {}).faults.empty());
}

// Guards against a help text that lists flags of other commands.
TEST(settings_test, HelpShowsOwnFlagsOnly) {
  for (const command& item : AllCommands()) {
    const std::string help = CommandHelp(item);
    for (const setting& flag : AllSettings()) {
      const bool is_own = item.set != kAnyCommand &&
                          (flag.commands & item.set) != 0 &&
                          flag.privacy == setting_privacy::kShown;
      EXPECT_EQ(
          help.find("--" + std::string(flag.name) + "=<") != std::string::npos,
          is_own)
          << item.name << " " << flag.name;
    }
  }
}

// Guards against wrong parsing of flags, switches and positional arguments.
TEST(settings_test, SplitsArguments) {
  const parsed_arguments parsed =
      ParseArguments({"set", "--slots=3", "--rack", "r1", "--json",
                      "--noidempotent", "-h", "--faults=a=b", "--", "--x"});
  EXPECT_EQ(parsed.positional, (names{"set", "--x"}));
  EXPECT_EQ(parsed.flags, (std::vector<flag_argument>{{"slots", "3"},
                                                      {"rack", "r1"},
                                                      {"json", "true"},
                                                      {"idempotent", "false"},
                                                      {"faults", "a=b"}}));
  EXPECT_TRUE(parsed.help);
  EXPECT_EQ(ParseArguments({"--rack"}).faults.size(), 1U);
}

// Guards against host names and malformed ports that are accepted as addresses.
TEST(endpoint_test, AcceptsIpAndPortOnly) {
  for (const char* text : {"127.0.0.1:1", "[::1]:65535", "0.0.0.0:0"}) {
    const auto address = ParseEndpoint(text);
    ASSERT_TRUE(address) << text;
    EXPECT_EQ(ToString(*address), text);
  }
  for (const char* text :
       {"", ":", "localhost:1", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536",
        "127.0.0.1:-1", "::1:1", "127.0.0.1: 1", "1.2.3:4", "[1.2.3.4]:1"}) {
    EXPECT_FALSE(ParseEndpoint(text)) << text;
  }
}

}  // namespace
}  // namespace jayrill
