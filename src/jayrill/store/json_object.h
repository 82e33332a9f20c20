#ifndef JAYRILL_STORE_JSON_OBJECT_H_
#define JAYRILL_STORE_JSON_OBJECT_H_

#include <QJsonObject>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "jayrill/base/error.h"

namespace jayrill {

/// Reads the JSON of a stored value. A field of the wrong type is an error. An
/// absent field reads as empty, false or 0, and unknown fields are ignored, so
/// that processes of different releases can share a store.
///
/// The first error is kept and shared with all nested objects; call Check once
/// after all fields are read.
class json_object {
 public:
  static constexpr std::uint64_t kMaxNumber =
      std::numeric_limits<std::int64_t>::max();

  /// Parses \p json. Malformed text reads as an empty object; Check reports it.
  static json_object Parse(std::string_view json);

  bool Has(std::string_view name) const;
  std::string Text(std::string_view name) const;
  std::vector<std::string> Texts(std::string_view name) const;
  bool Flag(std::string_view name) const;

  /// \returns a whole number in [0, \p limit]; 0 when it is absent or invalid.
  std::uint64_t Number(std::string_view name,
                       std::uint64_t limit = kMaxNumber) const;
  std::uint32_t Number32(std::string_view name) const;

  /// \returns a 64-bit number that is written as a string of hex digits; see
  /// ToJsonHex.
  std::uint64_t Hex(std::string_view name) const;

  /// \returns the object \p name; an empty one when it is absent or invalid.
  json_object Child(std::string_view name) const;

  /// Calls \p function for each member of the object \p name.
  void ForEach(std::string_view name,
               const std::function<void(const std::string&,
                                        const json_object&)>& function) const;

  /// Calls \p function for each object of the array \p name.
  void ForEachItem(
      std::string_view name,
      const std::function<void(const json_object&)>& function) const;

  /// Records the error that the field \p name is not \p expected, unless there
  /// is an earlier error.
  void Reject(std::string_view name, std::string_view expected) const;

  /// Records an error when the field \p name is absent.
  void Require(std::string_view name) const;

  /// \returns the first error of this object and all that share its errors; its
  /// message names the JSON as \p what.
  result<void> Check(std::string_view what) const;

 private:
  using first_error = std::shared_ptr<std::string>;

  json_object(QJsonObject object, std::string path, first_error failure);

  QJsonValue Value(std::string_view name) const;

  QJsonObject object_;
  std::string path_;  ///< Prefix of the field names in errors.
  first_error failure_;
};

/// \returns the compact JSON text of \p object; equal objects have equal texts.
std::string ToText(const QJsonObject& object);

/// \returns \p text as a string for JSON; invalid UTF-8 is replaced.
QString ToJsonText(std::string_view text);

/// \returns \p value as 16 hex digits, because JSON numbers are not exact for
/// all 64-bit values.
QString ToJsonHex(std::uint64_t value);

}  // namespace jayrill

#endif  // JAYRILL_STORE_JSON_OBJECT_H_
