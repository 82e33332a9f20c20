#include "jayrill/placement/quota_ledger.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace jayrill {

void quota_ledger::SetShare(std::string_view team, double share) {
  assert(share >= 0 && share <= 1 && "a share is a fraction");
  shares_.insert_or_assign(std::string(team), share);
}

void quota_ledger::UpdateShare(std::string_view team,
                               double share,
                               steady_time now) {
  const auto current = shares_.find(team);
  if (current == shares_.end() || share <= current->second) {
    SetShare(team, share);
    if (const auto pending = increases_.find(team);
        pending != increases_.end()) {
      increases_.erase(pending);
    }
    return;
  }
  const auto [pending, added] =
      increases_.try_emplace(std::string(team), pending_share{share, now});
  if (added) {
    pending->second.due = now + kIncreaseDelay;
  }
  pending->second.share = std::min(pending->second.share, share);
}

void quota_ledger::ApplyDue(steady_time now) {
  std::erase_if(increases_, [&](const auto& entry) {
    if (entry.second.due > now) {
      return false;
    }
    SetShare(entry.first, entry.second.share);
    return true;
  });
}

bool quota_ledger::MayStart(std::string_view team, std::uint32_t quota) const {
  if (quota == 0) {
    return true;
  }
  const auto found = shares_.find(team);
  const double share = found == shares_.end() ? default_share_ : found->second;
  const auto limit = std::max<std::uint32_t>(
      1, static_cast<std::uint32_t>(
             std::floor(share * static_cast<double>(quota))));
  return Running(team) < limit;
}

void quota_ledger::OnStart(std::string_view team) {
  const auto found = running_.find(team);
  if (found == running_.end()) {
    running_.emplace(team, 1);
  } else {
    ++found->second;
  }
}

void quota_ledger::OnEnd(std::string_view team) {
  const auto found = running_.find(team);
  assert(found != running_.end() && "only a started task can end");
  if (--found->second == 0) {
    running_.erase(found);
  }
}

std::uint32_t quota_ledger::Running(std::string_view team) const {
  const auto found = running_.find(team);
  return found == running_.end() ? 0 : found->second;
}

}  // namespace jayrill
