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

/// Reads the JSON of a stored value strictly: a field of the wrong type is an
/// error, an absent field has its default and an unknown field is ignored, so
/// that releases can be mixed.
///
/// The first error is kept and shared with all nested objects; the reader
/// checks it once at the end.
class json_object {
 public:
  static constexpr std::uint64_t kMaxNumber =
      std::numeric_limits<std::int64_t>::max();

  /// Parses \p json; malformed text is reported by Check.
  static json_object Parse(std::string_view json);

  bool Has(std::string_view name) const;
  std::string Text(std::string_view name) const;
  std::vector<std::string> Texts(std::string_view name) const;
  bool Flag(std::string_view name) const;

  /// \returns a whole number in [0, \p limit].
  std::uint64_t Number(std::string_view name,
                       std::uint64_t limit = kMaxNumber) const;
  std::uint32_t Number32(std::string_view name) const;

  /// \returns a 64-bit number written as 16 hex digits.
  std::uint64_t Hex(std::string_view name) const;

  json_object Child(std::string_view name) const;

  /// Calls \p function for each member of the object \p name.
  void ForEach(std::string_view name,
               const std::function<void(const std::string&,
                                        const json_object&)>& function) const;

  /// Calls \p function for each object of the array \p name.
  void ForEachItem(
      std::string_view name,
      const std::function<void(const json_object&)>& function) const;

  /// Notes that the field \p name is not \p expected.
  void Reject(std::string_view name, std::string_view expected) const;

  /// Rejects the object when \p name is absent.
  void Require(std::string_view name) const;

  /// \returns the first error of this object and all that share its errors.
  result<void> Check(std::string_view what) const;

 private:
  using first_error = std::shared_ptr<std::string>;

  json_object(QJsonObject object, std::string path, first_error failure);

  QJsonValue Value(std::string_view name) const;

  QJsonObject object_;
  std::string path_;
  first_error failure_;
};

/// \returns the compact JSON form of \p object; equal objects have equal forms.
std::string ToText(const QJsonObject& object);

/// \returns \p text for use in JSON.
QString ToJsonText(std::string_view text);

/// \returns \p value as 16 hex digits, because JSON numbers are not exact for
/// all 64-bit values.
QString ToJsonHex(std::uint64_t value);

}  // namespace jayrill

#endif  // JAYRILL_STORE_JSON_OBJECT_H_
