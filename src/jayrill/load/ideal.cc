#include "jayrill/load/ideal.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <functional>
#include <queue>
#include <string>
#include <utility>

namespace jayrill {
namespace {

using std::chrono::microseconds;

constexpr std::uint32_t kMaxMembers = 10'000;
constexpr std::uint32_t kMaxSlots = 10'000;
constexpr double kMaxSlowness = 1'000.0;

/// One minion with the times, in microseconds from the start of the job, at
/// which its slots become free. The earliest time is on top.
struct member_slots {
  double slowness;
  std::priority_queue<double, std::vector<double>, std::greater<>> free_at;
};

tl::unexpected<error> BadMember(absl::string_view member) {
  return MakeError(
      error_kind::kInvalidArgument,
      absl::StrCat("fleet member '", member, "' is not valid"),
      "write slots:slowness or count*slots:slowness, for example 4*8:1.0");
}

/// Schedules a task of \p work microseconds on the slot that finishes it
/// earliest.
/// \returns its finish time in microseconds.
double ScheduleOnBestSlot(double work, std::vector<member_slots>& members) {
  member_slots* best = nullptr;
  double best_finish = 0;
  for (member_slots& member : members) {
    const double finish = member.free_at.top() + (work * member.slowness);
    if (best == nullptr || finish < best_finish) {
      best = &member;
      best_finish = finish;
    }
  }
  best->free_at.pop();
  best->free_at.push(best_finish);
  return best_finish;
}

}  // namespace

microseconds IdealResponseTime(std::vector<microseconds> run_times,
                               std::span<const fleet_member> fleet) {
  std::vector<member_slots> members;
  for (const fleet_member& member : fleet) {
    if (member.slots > 0) {
      members.push_back({member.slowness, {}});
      for (std::uint32_t slot = 0; slot < member.slots; ++slot) {
        members.back().free_at.push(0.0);
      }
    }
  }
  assert(!members.empty() && "the fleet must have at least one slot");
  std::sort(run_times.begin(), run_times.end(), std::greater<>());
  double makespan = 0;
  for (const microseconds work : run_times) {
    makespan = std::max(
        makespan,
        ScheduleOnBestSlot(static_cast<double>(work.count()), members));
  }
  return microseconds(std::llround(makespan));
}

result<std::vector<fleet_member>> ParseFleet(std::string_view text) {
  std::vector<fleet_member> fleet;
  for (const absl::string_view part :
       absl::StrSplit(absl::string_view(text.data(), text.size()), ',')) {
    absl::string_view rest = part;
    std::uint32_t count = 1;
    const std::size_t star = rest.find('*');
    if (star != absl::string_view::npos) {
      if (!absl::SimpleAtoi(rest.substr(0, star), &count) || count == 0 ||
          count > kMaxMembers) {
        return BadMember(part);
      }
      rest.remove_prefix(star + 1);
    }
    const std::pair<absl::string_view, absl::string_view> fields =
        absl::StrSplit(rest, absl::MaxSplits(':', 1));
    fleet_member member;
    if (!absl::SimpleAtoi(fields.first, &member.slots) || member.slots == 0 ||
        member.slots > kMaxSlots ||
        !absl::SimpleAtod(fields.second, &member.slowness) ||
        !(member.slowness > 0) || member.slowness > kMaxSlowness) {
      return BadMember(part);
    }
    fleet.insert(fleet.end(), count, member);
  }
  return fleet;
}

double FleetCapacity(std::span<const fleet_member> fleet) {
  double capacity = 0;
  for (const fleet_member& member : fleet) {
    capacity += member.slots / member.slowness;
  }
  return capacity;
}

}  // namespace jayrill
