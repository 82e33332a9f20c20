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

/// \returns \p bytes in base64, the encoding of keys and values in the JSON
/// form of the protocol.
QString ToBase64(std::string_view bytes);

/// \returns the bytes of the base64 field \p name.
std::string Bytes(const QJsonObject& json, const QString& name);

/// \returns the 64-bit number \p name; 0 when it is absent. The JSON form
/// writes such numbers as strings and omits zeros.
std::uint64_t Number(const QJsonObject& json, const QString& name);

/// \returns the `range_end` of the range of all keys that start with \p prefix:
/// the first key after them, or a zero byte when there is no such key.
std::string RangeEnd(std::string prefix);

/// \returns the body of a range request for one key or for all keys that start
/// with a prefix.
QJsonObject RangeOfKey(std::string_view key);
QJsonObject RangeOfPrefix(const std::string& prefix);

/// \returns the body of a transaction that compares the revision of \p key with
/// \p expected. If they are equal, it writes \p value, or deletes the key when
/// there is no value; otherwise it reads the key.
QJsonObject SwapRequest(std::string_view key,
                        store_revision expected,
                        const std::optional<std::string>& value,
                        std::optional<lease_id> lease);

/// \returns the revision of the store in the header of \p answer.
store_revision HeaderRevision(const QJsonObject& answer);

/// \returns the entries in the answer to a range request.
std::vector<store_entry> Entries(const QJsonObject& answer);

}  // namespace jayrill::store_internal

#endif  // JAYRILL_STORE_INTERNAL_ETCD_JSON_H_
