#include "jayrill/agent/announcement.h"

#include <QByteArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <cmath>
#include <limits>

namespace jayrill {

namespace {

constexpr int kMaxServiceLength = 128;
constexpr std::uint32_t kMaxSlots = 1024;
constexpr std::uint32_t kMaxConnections = 65'535;
constexpr std::uint32_t kMaxResource =
    std::numeric_limits<std::uint32_t>::max();

// Reads the fields of a JSON object and keeps the first error.
class field_reader {
 public:
  field_reader(QJsonObject object, std::string prefix)
      : object_(std::move(object)), prefix_(std::move(prefix)) {}

  std::uint32_t Integer(const char* name,
                        std::uint32_t least,
                        std::uint32_t most) {
    const QJsonValue value = object_.value(QLatin1String(name));
    if (value.isUndefined() && least == 0) {
      return 0;
    }
    const double number = value.toDouble(-1);
    if (!value.isDouble() || std::floor(number) != number || number < least ||
        number > most) {
      Fail(name, "an integer from " + std::to_string(least) + " to " +
                     std::to_string(most));
      return 0;
    }
    return static_cast<std::uint32_t>(number);
  }

  std::string Name(const char* name) {
    const QJsonValue value = object_.value(QLatin1String(name));
    const QString text = value.toString();
    if (text.isEmpty() || text.size() > kMaxServiceLength) {
      Fail(name, "a text of 1 to " + std::to_string(kMaxServiceLength) +
                     " characters");
    }
    return text.toStdString();
  }

  QJsonObject Object(const char* name) {
    const QJsonValue value = object_.value(QLatin1String(name));
    if (!value.isUndefined() && !value.isObject()) {
      Fail(name, "an object");
    }
    return value.toObject();
  }

  const std::string& failure() const { return failure_; }

 private:
  void Fail(const char* name, const std::string& expected) {
    if (failure_.empty()) {
      failure_ = prefix_ + name + " must be " + expected;
    }
  }

  QJsonObject object_;
  std::string prefix_;
  std::string failure_;
};

tl::unexpected<error> Invalid(std::string message) {
  return MakeError(error_kind::kInvalidArgument, std::move(message),
                   "send {service, port, slots, connections, resources: "
                   "{cores, memory_mb, accelerators}}");
}

}  // namespace

result<announcement> ParseAnnouncement(std::string_view json) {
  const QJsonDocument document =
      QJsonDocument::fromJson(QByteArray::fromRawData(
          json.data(), static_cast<qsizetype>(json.size())));
  if (!document.isObject()) {
    return Invalid("the announcement is not a JSON object");
  }
  field_reader fields(document.object(), "");
  announcement parsed;
  parsed.service = fields.Name("service");
  parsed.port = static_cast<std::uint16_t>(fields.Integer("port", 1, 65'535));
  parsed.slots = fields.Integer("slots", 1, kMaxSlots);
  parsed.connections = fields.Integer("connections", 1, kMaxConnections);
  field_reader resources(fields.Object("resources"), "resources.");
  parsed.cores = resources.Integer("cores", 0, kMaxResource);
  parsed.memory_mb = resources.Integer("memory_mb", 0, kMaxResource);
  parsed.accelerators = resources.Integer("accelerators", 0, kMaxResource);
  if (!fields.failure().empty()) {
    return Invalid(fields.failure());
  }
  if (!resources.failure().empty()) {
    return Invalid(resources.failure());
  }
  return parsed;
}

}  // namespace jayrill
