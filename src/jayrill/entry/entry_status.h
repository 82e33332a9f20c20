#ifndef JAYRILL_ENTRY_ENTRY_STATUS_H_
#define JAYRILL_ENTRY_ENTRY_STATUS_H_

#include <QtCore/QJsonObject>
#include <optional>
#include <string>
#include <vector>

#include "jayrill/base/clock.h"
#include "jayrill/entry/dispatch_port.h"
#include "jayrill/membership/entry_record.h"

namespace jayrill {

/// The content of GET /v1/status, as far as one entry knows it.
struct entry_status {
  std::string id;
  std::string data_centre;
  shared_config config;  ///< Null while there is none.
  bool ready = false;
  /// When the store last confirmed the configuration, if that is too long ago.
  std::optional<wall_time> unconfirmed_since;
  bool store_reachable = false;
  dispatch_status dispatch;
  std::vector<entry_record> entries;
};

/// \returns the JSON form of \p status.
QJsonObject ToJson(const entry_status& status);

/// \returns the record that this entry publishes to the other entries. Fields
/// that do not change are taken from \p record, the rest from \p status.
entry_record MakeEntryRecord(const dispatch_status& status,
                             entry_record record);

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_ENTRY_STATUS_H_
