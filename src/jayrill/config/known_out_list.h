#ifndef JAYRILL_CONFIG_KNOWN_OUT_LIST_H_
#define JAYRILL_CONFIG_KNOWN_OUT_LIST_H_

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include "jayrill/base/clock.h"
#include "jayrill/config/out_list.h"

namespace jayrill {

/// The newest list of the data centres that are out that a process has
/// received, whoever sent it, and up to when it is known to be current.
///
/// Lists are compared by the revision of the store, not by when they arrive: a
/// peer that the store rejects goes on sending what it knew last.
class known_out_list {
 public:
  /// Adopts \p list if it is newer. \p confirmed: the store held \p list then
  /// or later; nothing when that is not known.
  /// \returns true when other data centres are out than before.
  bool Offer(out_list list, std::optional<steady_time> confirmed = {}) {
    const bool is_newer = list.revision > list_.revision;
    const bool differs = list.data_centres != list_.data_centres;
    if (!is_newer && differs) {
      return false;
    }
    confirmed_ = std::max(confirmed_, confirmed);
    if (is_newer) {
      list_ = std::move(list);
    }
    return differs;
  }

  const out_list& list() const { return list_; }

  bool IsOut(const std::string& data_centre) const {
    return list_.data_centres.contains(data_centre);
  }

  /// \returns the last moment up to which this process has missed no change of
  /// the store; nothing when none is known.
  std::optional<steady_time> confirmed() const { return confirmed_; }

 private:
  out_list list_;
  std::optional<steady_time> confirmed_;
};

}  // namespace jayrill

#endif  // JAYRILL_CONFIG_KNOWN_OUT_LIST_H_
