#ifndef JAYRILL_STORE_INTERNAL_ETCD_JSON_H_
#define JAYRILL_STORE_INTERNAL_ETCD_JSON_H_

#include <QJsonObject>
#include <QString>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jayrill/store/store.h"

namespace jayrill::store_internal {

/// \returns \p bytes in base64, as keys and values appear in the JSON form.
QString ToBase64(std::string_view bytes);

/// \returns the bytes of the base64 field \p name.
std::string Bytes(const QJsonObject& json, const QString& name);

/// \returns the 64-bit number \p name. The JSON form writes them as strings
/// and leaves zeros out.
std::uint64_t Number(const QJsonObject& json, const QString& name);

/// \returns the end of the range of all keys that start with \p prefix.
std::string RangeEnd(std::string prefix);

/// \returns the body of a range request for one key or for a whole prefix.
QJsonObject RangeOfKey(std::string_view key);
QJsonObject RangeOfPrefix(const std::string& prefix);

/// \returns the body of a transaction that writes \p value, or deletes the key
/// without one, if the key is at \p expected, and else reads the key.
QJsonObject SwapRequest(std::string_view key,
                        store_revision expected,
                        const std::optional<std::string>& value,
                        std::optional<lease_id> lease);

/// \returns the revision of the store in the header of \p answer.
store_revision HeaderRevision(const QJsonObject& answer);

/// \returns the keys in the answer to a range request.
std::vector<store_entry> Entries(const QJsonObject& answer);

}  // namespace jayrill::store_internal

#endif  // JAYRILL_STORE_INTERNAL_ETCD_JSON_H_
