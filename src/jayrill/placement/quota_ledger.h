#ifndef JAYRILL_PLACEMENT_QUOTA_LEDGER_H_
#define JAYRILL_PLACEMENT_QUOTA_LEDGER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "jayrill/base/clock.h"

namespace jayrill {

/// Counts the running tasks of each team at one entry against this entry's
/// share of the team's quota.
class quota_ledger {
 public:
  /// Sets this entry's share of a team's quota, 0 to 1.
  void SetShare(std::string_view team, double share);

  /// Delay of a larger share. Entries learn of each other's demand at different
  /// times; by then the others have lowered theirs, so that the shares of all
  /// entries together never pass the quota while records are on their way.
  static constexpr std::chrono::milliseconds kIncreaseDelay{1000};

  /// Notes the share that follows from the demand of all entries. A smaller one
  /// counts at once, a larger one after kIncreaseDelay.
  void OfferShare(std::string_view team, double share, steady_time now);

  /// Applies the larger shares that are due.
  void ApplyDue(steady_time now);

  /// Sets the share of every team that has none of its own.
  void SetDefaultShare(double share) { default_share_ = share; }

  /// \param quota running tasks of the team over all entries; 0 for no limit.
  /// \returns true when one more task of \p team may start. At least one may
  /// run, so that a small share cannot stop a team.
  bool MayStart(std::string_view team, std::uint32_t quota) const;

  /// Notes that a task of \p team was sent.
  void OnStart(std::string_view team);

  /// Notes that a task of \p team has ended. It must have been started.
  void OnEnd(std::string_view team);

  /// \returns the running tasks of \p team at this entry.
  std::uint32_t Running(std::string_view team) const;

 private:
  struct pending_share {
    double share = 0;
    steady_time due;
  };

  std::map<std::string, double, std::less<>> shares_;
  std::map<std::string, pending_share, std::less<>> increases_;
  std::map<std::string, std::uint32_t, std::less<>> running_;
  double default_share_ = 1.0;
};

}  // namespace jayrill

#endif  // JAYRILL_PLACEMENT_QUOTA_LEDGER_H_
