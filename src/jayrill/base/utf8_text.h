#ifndef JAYRILL_BASE_UTF8_TEXT_H_
#define JAYRILL_BASE_UTF8_TEXT_H_

#include <QtCore/QByteArray>
#include <QtCore/QJsonDocument>
#include <QtCore/QJsonParseError>
#include <QtCore/QString>
#include <optional>
#include <string>
#include <string_view>

namespace jayrill {

/// Byte order mark, U+FEFF, in UTF-8. At the beginning of a caller's text it is
/// a character like any other, but Qt drops it there when it decodes UTF-8.
inline constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";

/// \returns \p utf8 with every character that it has, unlike
/// QString::fromStdString.
inline QString ToQString(std::string_view utf8) {
  QByteArray bytes;
  if (utf8.substr(0, kByteOrderMark.size()) == kByteOrderMark) {
    // The conversion drops this one, and only this one.
    bytes.append(kByteOrderMark.data(), kByteOrderMark.size());
  }
  bytes.append(utf8.data(), static_cast<qsizetype>(utf8.size()));
  return QString::fromUtf8(bytes);
}

/// \returns \p text in UTF-8, or nothing when it has no UTF-8 form: a lone
/// surrogate, in whose place QString::toStdString would put "?".
inline std::optional<std::string> ToUtf8(const QString& text) {
  if (!text.isValidUtf16()) {
    return std::nullopt;
  }
  return text.toStdString();
}

/// \returns \p json with the byte order marks at the beginning of its strings
/// as escape sequences, which Qt and other receivers keep. Does not change what
/// the JSON means: only a quotation mark can stand before such a mark, and
/// outside of strings neither form is valid.
inline QByteArray EscapeByteOrderMarks(QByteArray json) {
  json.replace("\"\xEF\xBB\xBF", "\"\\ufeff");
  return json;
}

/// Parses \p json and keeps every character of its strings, unlike
/// QJsonDocument::fromJson. \p failure is set if it is given.
inline QJsonDocument ParseJson(const QByteArray& json,
                               QJsonParseError* failure = nullptr) {
  return QJsonDocument::fromJson(EscapeByteOrderMarks(json), failure);
}

}  // namespace jayrill

#endif  // JAYRILL_BASE_UTF8_TEXT_H_
