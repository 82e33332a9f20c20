#include "jayrill/cli/setting_rules.h"

#include <absl/flags/flag.h>
#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>

#include "jayrill/base/endpoint.h"
#include "jayrill/base/name.h"
#include "jayrill/cli/flags.h"
#include "jayrill/load/ideal.h"
#include "jayrill/load/weighted_names.h"

namespace jayrill {
namespace {

using enum setting_type;

bool IsAddress(const std::string& value, bool allow_port_zero) {
  const std::optional<endpoint> address = ParseEndpoint(value);
  return address && (allow_port_zero || address->port != 0);
}

bool IsAddressList(const std::string& value) {
  const std::vector<std::string> parts = absl::StrSplit(value, ',');
  return std::all_of(parts.begin(), parts.end(), [](const std::string& part) {
    return IsAddress(part, false);
  });
}

bool IsInRange(const setting& item, const std::string& value) {
  double number = 0;
  return absl::SimpleAtod(value, &number) && number >= item.min &&
         number <= item.max;
}

bool IsChoice(const setting& item, const std::string& value) {
  const std::vector<std::string> choices = absl::StrSplit(
      absl::string_view(item.choices.data(), item.choices.size()), ',');
  return std::find(choices.begin(), choices.end(), value) != choices.end();
}

bool IsAllowed(const setting& item, const std::string& value) {
  switch (item.type) {
    case kName:
      return IsValidName(value);
    case kAddress:
      return IsAddress(value, false);
    case kListenAddress:
      return IsAddress(value, true);
    case kAddressList:
      return IsAddressList(value);
    case kNumber:
      return IsInRange(item, value);
    case kChoice:
      return IsChoice(item, value);
    case kSwitch:
    case kText:
      break;
  }
  return true;
}

bool CanBeEmpty(const setting& item) {
  return item.type != kListenAddress && item.type != kChoice;
}

/// Collects violations of the rules that involve several settings.
class fault_list {
 public:
  template <typename T>
  void Expect(bool holds,
              const char* name,
              const T& value,
              const char* problem,
              const char* remedy) {
    if (!holds) {
      faults_.push_back({name, absl::StrCat(value),
                         "combined with other settings", problem, remedy});
    }
  }

  std::vector<setting_fault> Take() && { return std::move(faults_); }

 private:
  std::vector<setting_fault> faults_;
};

void CheckAdvertised(const char* name,
                     const std::string& listen,
                     const std::string& advertise,
                     fault_list& faults) {
  const std::optional<endpoint> bound = ParseEndpoint(listen);
  const std::optional<endpoint> advertised = ParseEndpoint(advertise);
  faults.Expect(
      advertised || !bound || !IsWildcard(*bound), name, advertise,
      "the listen address is a wildcard, to which others cannot connect",
      "set the IP:port at which others reach this process");
  faults.Expect(!advertised || !IsWildcard(*advertised), name, advertise,
                "others cannot connect to a wildcard address",
                "set the IP:port at which others reach this process");
}

void CheckEntry(fault_list& faults) {
  // On the platform operators write to its store instead of calling entries, so
  // entries need no operator secret.
  faults.Expect(absl::GetFlag(FLAGS_platform) ||
                    !absl::GetFlag(FLAGS_operator_secret).empty(),
                "operator_secret", "", "the setting is required and not set",
                "set JAYRILL_OPERATOR_SECRET");
  CheckAdvertised("http_advertise", absl::GetFlag(FLAGS_http_listen),
                  absl::GetFlag(FLAGS_http_advertise), faults);
  CheckAdvertised("rpc_advertise", absl::GetFlag(FLAGS_rpc_listen),
                  absl::GetFlag(FLAGS_rpc_advertise), faults);
}

void CheckAnnounceListen(fault_list& faults) {
  const std::optional<endpoint> bound =
      ParseEndpoint(absl::GetFlag(FLAGS_announce_listen));
  faults.Expect(
      !bound || !IsWildcard(*bound), "announce_listen",
      absl::GetFlag(FLAGS_announce_listen),
      "only the minion on the same host may announce itself to the agent",
      "use a loopback address");
}

void CheckAgent(fault_list& faults) {
  // The platform may start an agent before the address of any entry is known.
  faults.Expect(
      absl::GetFlag(FLAGS_platform) || !absl::GetFlag(FLAGS_entries).empty(),
      "entries", "", "the setting is required and not set",
      "set JAYRILL_ENTRIES");
}

void CheckLoad(fault_list& faults) {
  const auto check_range = [&faults](const char* name, std::int64_t low,
                                     std::int64_t high, const char* remedy) {
    faults.Expect(low <= high, name, low, "the range is empty", remedy);
  };
  check_range("tasks_min", absl::GetFlag(FLAGS_tasks_min),
              absl::GetFlag(FLAGS_tasks_max), "set it to at most tasks_max");
  check_range("work_min_ms", absl::GetFlag(FLAGS_work_min_ms),
              absl::GetFlag(FLAGS_work_max_ms),
              "set it to at most work_max_ms");
  check_range("long_min_ms", absl::GetFlag(FLAGS_long_min_ms),
              absl::GetFlag(FLAGS_long_max_ms),
              "set it to at most long_max_ms");
  const std::string fleet = absl::GetFlag(FLAGS_fleet);
  faults.Expect(ParseFleet(fleet).has_value(), "fleet", fleet,
                "the value is not a list of minions",
                "write count*slots:slowness,..., for example 4*8:1.0,7*8:2.0");
  const auto services = ParseWeightedNames(absl::GetFlag(FLAGS_services));
  faults.Expect(services.has_value(), "services", absl::GetFlag(FLAGS_services),
                "the value is not a list of weighted names",
                "write name:weight,..., for example quote:3,batch:1");
  faults.Expect(ParseWeightedNames(absl::GetFlag(FLAGS_teams)).has_value(),
                "teams", absl::GetFlag(FLAGS_teams),
                "the value is not a list of weighted names",
                "write name:weight,..., for example north:3,south:1");
  const std::string urgencies = absl::GetFlag(FLAGS_urgencies);
  const std::vector<std::string> numbers = absl::StrSplit(urgencies, ',');
  const bool all_valid =
      std::all_of(numbers.begin(), numbers.end(), [](const std::string& text) {
        int number = 0;
        return absl::SimpleAtoi(text, &number) && number >= 0 && number <= 100;
      });
  faults.Expect(urgencies.empty() || (all_valid && services &&
                                      numbers.size() == services->size()),
                "urgencies", urgencies,
                "it must hold one number from 0 to 100 for each service",
                "give as many urgencies as services, separated by commas");
  faults.Expect(
      urgencies.empty() || !absl::GetFlag(FLAGS_operator_secret).empty(),
      "urgencies", urgencies, "only operators may set profiles",
      "set JAYRILL_OPERATOR_SECRET to the secret of the entries");
}

}  // namespace

std::optional<setting_problem> CheckValue(const setting& item,
                                          const std::string& value,
                                          command_set commands) {
  // With kAnyCommand the settings are only printed, so none of them is
  // required.
  const bool is_required =
      commands != kAnyCommand && (item.required & commands) != 0;
  if (value.empty()) {
    if (!is_required && CanBeEmpty(item)) {
      return std::nullopt;
    }
    const std::string name(item.name);
    return setting_problem{
        "the setting is required and not set",
        item.privacy == setting_privacy::kSecret
            ? "set " + EnvironmentName(name)
            : "give --" + name + " or set " + EnvironmentName(name)};
  }
  if (IsAllowed(item, value)) {
    return std::nullopt;
  }
  return setting_problem{"the value is not allowed",
                         "give " + AllowedValues(item)};
}

std::vector<setting_fault> CheckSettingCombinations(command_set commands) {
  fault_list faults;
  if (commands == kAnyCommand) {
    return {};
  }
  if ((commands & kEntry) != 0) {
    CheckEntry(faults);
  }
  if ((commands & kAgent) != 0) {
    CheckAnnounceListen(faults);
    CheckAgent(faults);
  }
  if ((commands & kLoad) != 0) {
    CheckLoad(faults);
  }
  return std::move(faults).Take();
}

}  // namespace jayrill
