#ifndef JAYRILL_PLACEMENT_QUOTA_LEDGER_H_
#define JAYRILL_PLACEMENT_QUOTA_LEDGER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "jayrill/base/clock.h"

namespace jayrill {

/// Limits the running tasks of each team at one entry to this entry's share of
/// the team's quota. The dispatcher also uses one with profiles in place of
/// teams. Not thread-safe.
class quota_ledger {
 public:
  /// Sets this entry's share of a team's quota, 0 to 1.
  void SetShare(std::string_view team, double share);

  /// Delay before a larger share applies. Entries learn of each other's demand
  /// at different times. During the delay the other entries lower their shares,
  /// so that the shares of all entries together do not exceed the quota.
  static constexpr std::chrono::milliseconds kIncreaseDelay{1000};

  /// Updates the share of \p team, as computed from the demand of all entries.
  /// A smaller share applies immediately. A larger one applies with the first
  /// ApplyDue after kIncreaseDelay; if several larger ones are given meanwhile,
  /// the smallest applies.
  void UpdateShare(std::string_view team, double share, steady_time now);

  /// Applies the larger shares whose delay has passed.
  void ApplyDue(steady_time now);

  /// Sets the share of every team without a share of its own.
  void SetDefaultShare(double share) { default_share_ = share; }

  /// \param quota limit of the team's running tasks over all entries; 0 for no
  /// limit.
  /// \returns true when another task of \p team may start. One running task is
  /// always allowed, so that a team with a small share makes progress.
  bool MayStart(std::string_view team, std::uint32_t quota) const;

  /// Records that a task of \p team was sent.
  void OnStart(std::string_view team);

  /// Records that a task of \p team has ended. OnStart must have been called
  /// for it.
  void OnEnd(std::string_view team);

  /// \returns the number of running tasks of \p team at this entry.
  std::uint32_t Running(std::string_view team) const;

 private:
  /// A larger share that applies from `due` on.
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
