#ifndef JAYRILL_ENTRY_DISPATCH_VIEW_H_
#define JAYRILL_ENTRY_DISPATCH_VIEW_H_

#include "jayrill/entry/dispatch_port.h"

namespace jayrill {

/// State of the dispatcher that the HTTP thread reads for each request.
///
/// The dispatcher publishes it through a snapshot, so that a request reads it
/// without a lock and without a turn of the dispatcher's thread.
struct dispatch_view {
  shared_config config;  ///< In force; null while there is none.
  /// Has a configuration, has waited for agents and enough are connected.
  bool ready = false;
  bool isolated = false;
  /// Until then requests may arrive that were held back on their way.
  steady_time retransmissions_until;

  bool operator==(const dispatch_view&) const = default;
};

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_DISPATCH_VIEW_H_
