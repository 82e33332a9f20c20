#ifndef JAYRILL_AGENT_OUT_LIST_REFRESH_H_
#define JAYRILL_AGENT_OUT_LIST_REFRESH_H_

#include <chrono>
#include <functional>
#include <optional>

#include "jayrill/base/clock.h"
#include "jayrill/base/error.h"
#include "jayrill/base/random_source.h"
#include "jayrill/config/out_list.h"

namespace jayrill {

/// Reads from the store which data centres are out of service.
class out_list_reader {
 public:
  virtual ~out_list_reader() = default;

  /// Calls \p done once, later, with the list as the store held it after this
  /// call, or with an error when there is no answer within \p limit.
  virtual void Read(std::chrono::milliseconds limit,
                    std::function<void(result<out_list>)> done) = 0;
};

/// Decides when an agent reads the data centres that are out from the store.
///
/// Entries follow the store and pass the list on, so an agent reads nothing as
/// long as one of them has seen the store confirm it lately. Where the store
/// rejects the entries of the agent, or they are late with it for another
/// reason, the agent asks by itself until an entry confirms the list again.
///
/// The bounds add up to the time after which an agent that the store serves has
/// learnt of a change, see docs/platform.md: kMaxUnconfirmed, kSpread, a tick
/// and the answer. When the first read has used up its limit, for example on a
/// connection that has gone silent, a retry follows.
///
/// Keeps only times; the caller reads. For use on one thread.
class out_list_refresh {
 public:
  /// Age of the last confirmation from which on the agent reports to one of its
  /// entries ahead of the next heartbeat. The answer confirms the list again on
  /// a sound day.
  static constexpr std::chrono::milliseconds kAskEntryAfter{1400};
  /// Time between two such reports: the entry may have asked the store just
  /// before the first one.
  static constexpr std::chrono::milliseconds kAskEntryInterval{300};
  /// Age of the last confirmation from which on the agent reads the list.
  static constexpr std::chrono::milliseconds kMaxUnconfirmed{2000};
  /// Time between the start of the agent and the earliest first read: as long
  /// as its entries may take to confirm the list.
  static constexpr std::chrono::milliseconds kStartDelay{1500};
  /// Reads of different agents are spread over this time, since the store
  /// limits the reads per second.
  static constexpr std::chrono::milliseconds kSpread{500};
  /// Limit of a read whose predecessor was answered, and of a retry. The first
  /// is short, because a connection that was not used for long may be dead.
  static constexpr std::chrono::milliseconds kReadLimit{500};
  static constexpr std::chrono::milliseconds kRetryLimit{1200};
  /// Delay before the first and before later retries, half of it to all of it.
  static constexpr std::chrono::milliseconds kFirstRetryDelay{200};
  static constexpr std::chrono::milliseconds kLongestRetryDelay{1000};

  out_list_refresh(const clock& time, random_source random);

  /// \p confirmed: the last moment up to which the agent has missed no change.
  /// Must be called every kPauseTick.
  /// \returns the limit for a read that must begin now, else nothing.
  std::optional<std::chrono::milliseconds> Tick(
      std::optional<steady_time> confirmed);

  /// \returns true when the agent should report to an entry now, so that it
  /// confirms the list. Never once the list is read from the store instead.
  bool ShouldAskEntry(std::optional<steady_time> confirmed);

  /// The read that Tick has asked for has ended.
  /// \returns when it began.
  steady_time OnReadEnded(bool has_answer);

 private:
  /// \returns a random time below \p bound.
  std::chrono::milliseconds Jitter(std::chrono::milliseconds bound);

  const clock& time_;
  random_source random_;
  /// Stands for the last confirmation while there was none.
  const steady_time first_confirmed_;
  std::optional<steady_time> next_read_;    ///< Nothing while none is needed.
  std::optional<steady_time> entry_asked_;  ///< When that was last so.
  bool is_reading_ = false;
  steady_time read_began_;
  bool is_retry_ = false;
  std::chrono::milliseconds retry_delay_ = kFirstRetryDelay;
};

}  // namespace jayrill

#endif  // JAYRILL_AGENT_OUT_LIST_REFRESH_H_
