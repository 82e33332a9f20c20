#ifndef JAYRILL_AGENT_ENTRY_SEARCH_H_
#define JAYRILL_AGENT_ENTRY_SEARCH_H_

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "jayrill/base/random_source.h"
#include "jayrill/rpc/entry_endpoint.h"
#include "jayrill/store/scheduler.h"

namespace jayrill {

/// What an agent has found out about entries without the help of one.
struct found_entries {
  /// RPC addresses in the present settings; empty: not known.
  std::vector<std::string> seeds;
  /// Entries that have registered themselves; empty: not known.
  std::vector<entry_endpoint> registered;

  auto operator<=>(const found_entries&) const = default;
};

/// Looks entries up where they can be found without a connection to one.
class entry_directory {
 public:
  virtual ~entry_directory() = default;

  /// Calls \p done once, later, with what could be read.
  virtual void Find(std::function<void(found_entries)> done) = 0;
};

/// Looks up entries while an agent is connected to too few to rely on them.
///
/// An agent learns the entries from those that it is connected to. It starts
/// from addresses in its settings, which may be stale, and all the entries that
/// it knows may go away at once.
///
/// Lives on one thread, on which the scheduler calls back.
class entry_search {
 public:
  /// With fewer connected entries the agent is searching. One alone may be cut
  /// off from the others and know none of them.
  static constexpr std::size_t kEnoughEntries = 2;

  /// Time between the start of a search and its first look-up, and between the
  /// first two look-ups: half of it to all of it. An agent whose addresses are
  /// right is connected before.
  static constexpr std::chrono::milliseconds kFirstDelay{1500};
  static constexpr std::chrono::milliseconds kLongestDelay{4000};

  /// \p directory and \p timers must outlive this object.
  entry_search(entry_directory& directory,
               scheduler& timers,
               random_source random,
               std::function<void(found_entries)> on_found);

  /// Starts or ends the search by the number of connected entries.
  void SetConnectedEntries(std::size_t count);

 private:
  void ScheduleLookUp();
  void LookUp(std::uint64_t search);

  entry_directory& directory_;
  scheduler& timers_;
  random_source random_;
  std::function<void(found_entries)> on_found_;
  bool searching_ = false;
  std::uint64_t search_ = 0;  ///< Number of the last search.
  std::chrono::milliseconds delay_ = kFirstDelay;
  callback_guard guard_;
};

}  // namespace jayrill

#endif  // JAYRILL_AGENT_ENTRY_SEARCH_H_
