#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>

#include "jayrill/cli/setting.h"

namespace jayrill {
namespace {

using enum setting_type;

constexpr std::string_view kMs = "ms";
constexpr double kDayMs = 86'400'000;
constexpr double kMillion = 1e6;
constexpr command_set kDispatchRoles = kEntry | kAgent;
constexpr command_set kMinionRoles = kSampleBackend | kStandalone;
constexpr command_set kClientCommands = kSubmit | kOperatorCommands | kLoad;

// Sorted by name, because FindSetting uses a binary search. The columns are
// name, type, commands, commands that require a value, unit, minimum, maximum,
// choices and privacy. 1900 tasks and a deadline of 600'000 ms are the limits
// that entries enforce for a job.
constexpr auto kSettings = std::to_array<setting>({
    {"agent", kAddress, kSampleBackend, kSampleBackend},
    {"announce_listen", kListenAddress, kAgent | kStandalone},
    {"base_revision", kNumber, kConfigCommands, 0, "", -1, 9e15},
    {"burst_at_ms", kNumber, kLoad, 0, kMs, 0, kDayMs},
    {"burst_tasks", kNumber, kLoad, 0, "tasks", 0, kMillion},
    {"config", kText, kAgent},
    {"connections", kNumber, kLoad, 0, "", 1, 900},
    {"data_centre", kName, kDispatchRoles, kDispatchRoles},
    {"data_centres", kText, kProfile},
    {"deadline_ms", kNumber, kSubmit | kLoad, 0, kMs, 1, 600'000},
    {"declared_error", kNumber, kLoad, 0, "", 1, 1000},
    {"demo", kSwitch, kStandalone},
    {"duration_ms", kNumber, kLoad, 0, kMs, 1, kDayMs},
    {"entries", kAddressList, kAgent},
    {"entry", kAddressList, kClientCommands, kClientCommands},
    {"entry_limit", kNumber, kAgent, 0, "entries", 1, 1024},
    {"faults", kChoice, kMinionRoles, 0, "", 0, 0,
     "none,fail,not_json,not_http,never,endless,huge,drop,reset,truncate"},
    {"fleet", kText, kLoad, kLoad},
    {"force", kSwitch, kDataCentre},
    {"health_listen", kAddress, kEntry},
    {"http_advertise", kAddress, kEntry},
    {"http_listen", kListenAddress, kEntry | kStandalone},
    {"id", kName, kDispatchRoles, kDispatchRoles},
    {"idempotent", kSwitch, kSubmit},
    {"idempotent_share", kNumber, kLoad, 0, "", 0, 1},
    {"json", kSwitch, kClientCommands},
    {"kind", kName, kSubmit, kSubmit},
    {"lease_ms", kNumber, kAgent, 0, kMs, 100, 60'000},
    {"limit", kNumber, kAudit, 0, "records", 1, 100'000},
    {"listen", kListenAddress, kMinionRoles},
    {"load_percent", kNumber, kLoad, 0, "%", 0.1, 1000},
    {"long_max_ms", kNumber, kLoad, 0, kMs, 1, kDayMs},
    {"long_min_ms", kNumber, kLoad, 0, kMs, 1, kDayMs},
    {"long_share", kNumber, kLoad, 0, "", 0, 1},
    {"max_deadline_ms", kNumber, kProfile, 0, kMs, 0, kDayMs},
    {"max_running", kNumber, kProfile | kTeam, 0, "tasks", 0, kMillion},
    {"max_tasks", kNumber, kProfile, 0, "tasks", 0, 1900},
    {"min_accelerators", kNumber, kProfile, 0, "", 0, 1024},
    {"min_cores", kNumber, kProfile, 0, "", 0, 4096},
    {"min_memory_mb", kNumber, kProfile, 0, "MB", 0, 1e8},
    {"operator_name", kName, kOperatorCommands | kLoad,
     kConfigCommands | kAudit},
    {"operator_secret", kText, kEntry | kStandalone | kOperatorCommands | kLoad,
     kOperatorCommands, "", 0, 0, "", setting_privacy::kSecret},
    {"placement_strategy", kChoice, kEntry | kStandalone, 0, "", 0, 0,
     "jayrill,random,round_robin,least_of_two"},
    {"platform", kSwitch, kDispatchRoles},
    {"preferred_rack", kName, kSubmit},
    {"processor_cores", kNumber, kEntry, 0, "cores", 0.01, 1024},
    {"profile", kName, kService},
    {"queue_limit", kNumber, kAgent | kStandalone, 0, "starts", 1, 100'000},
    {"rack", kName, kAgent},
    {"rate", kNumber, kLoad, 0, "jobs/s", 0, 100'000},
    {"reason", kText, kConfigCommands},
    {"record", kSwitch, kMinionRoles},
    {"remote_factor", kNumber, kEntry, 0, "", 1, 100},
    {"repeat_after_ms", kNumber, kDispatchRoles, 0, kMs, 0, kDayMs},
    {"request_key", kText, kSubmit},
    {"rpc_advertise", kAddress, kEntry},
    {"rpc_listen", kListenAddress, kEntry | kStandalone},
    {"same_rack", kSwitch, kSubmit},
    {"seed", kNumber, kLoad, 0, "", 0, 9e15},
    {"service", kName, kMinionRoles | kSubmit, kMinionRoles | kSubmit},
    {"services", kText, kLoad, kLoad},
    {"slots", kNumber, kMinionRoles, 0, "tasks", 1, 10'000},
    {"slow_start_ms", kNumber, kEntry, 0, kMs, 0, kDayMs},
    {"slowness", kNumber, kMinionRoles, 0, "", 0.01, 100},
    {"status_interval_ms", kNumber, kAgent, 0, kMs, 1, 1000},
    {"stop_delay_ms", kNumber, kEntry, 0, kMs, 0, kDayMs},
    {"stop_limit_ms", kNumber, kAgent, 0, kMs, 1, kDayMs},
    {"store_endpoints", kAddressList, kEntry, kEntry},
    {"tasks", kNumber, kSubmit, 0, "tasks", 0, 1900},
    {"tasks_max", kNumber, kLoad, 0, "tasks", 1, 1900},
    {"tasks_min", kNumber, kLoad, 0, "tasks", 1, 1900},
    {"team", kName, kSubmit, kSubmit},
    {"teams", kText, kLoad, kLoad},
    {"timeout_ms", kNumber, kOperatorCommands | kLoad, 0, kMs, 1, kDayMs},
    {"trace", kText, kLoad},
    {"trace_out", kText, kLoad},
    {"urgencies", kText, kLoad},
    {"urgency", kNumber, kProfile, 0, "", 0, 100},
    {"wait_ms", kNumber, kConfigCommands, 0, kMs, 0, kDayMs},
    {"work_max_ms", kNumber, kLoad, 0, kMs, 1, kDayMs},
    {"work_min_ms", kNumber, kLoad, 0, kMs, 1, kDayMs},
    {"work_ms", kNumber, kSubmit, 0, kMs, 0, kDayMs},
    {"worker", kName, kAgent, kAgent},
});

}  // namespace

std::span<const setting> AllSettings() {
  return kSettings;
}

const setting* FindSetting(std::string_view name) {
  const auto found =
      std::lower_bound(kSettings.begin(), kSettings.end(), name,
                       [](const setting& item, std::string_view key) {
                         return item.name < key;
                       });
  return found != kSettings.end() && found->name == name ? found : nullptr;
}

std::string EnvironmentName(std::string_view name) {
  return "JAYRILL_" + absl::AsciiStrToUpper({name.data(), name.size()});
}

std::string AllowedValues(const setting& item) {
  switch (item.type) {
    case kNumber:
      return absl::StrCat(item.min, " to ", item.max);
    case kChoice:
      return "one of " + std::string(item.choices);
    case kName:
      return "1 to 64 letters, digits, '_', '-' or '.', beginning with a "
             "letter "
             "or digit";
    case kAddress:
      return "IP:port with a port from 1 to 65535";
    case kListenAddress:
      return "IP:port with a port from 0 to 65535";
    case kAddressList:
      return "IP:port,... with ports from 1 to 65535";
    case kSwitch:
      return "true or false";
    case kText:
      break;
  }
  return {};
}

std::string_view TypeName(const setting& item) {
  switch (item.type) {
    case kNumber:
      return "number";
    case kChoice:
      return "choice";
    case kName:
      return "name";
    case kAddress:
    case kListenAddress:
      return "IP:port";
    case kAddressList:
      return "IP:port,...";
    case kSwitch:
      return "switch";
    case kText:
      break;
  }
  return "text";
}

}  // namespace jayrill
