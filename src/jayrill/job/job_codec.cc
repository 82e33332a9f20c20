#include "jayrill/job/job_codec.h"

#include <QtCore/QJsonArray>
#include <QtCore/QJsonDocument>
#include <QtCore/QJsonObject>
#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <utility>

#include "jayrill/base/name.h"
#include "jayrill/base/utf8_text.h"

namespace jayrill {
namespace {

tl::unexpected<error> InvalidArgument(std::string message, std::string remedy) {
  return MakeError(error_kind::kInvalidArgument, std::move(message),
                   std::move(remedy));
}

/// Reads fields of one JSON object and keeps the first error. The prefix stands
/// before field names in errors, for example `tasks[3].`.
class field_reader {
 public:
  field_reader(const QJsonObject& object, std::string path_prefix)
      : object_(object), path_prefix_(std::move(path_prefix)) {}

  /// Fails when the object has a field that is not in \p names.
  void AllowOnly(std::initializer_list<std::string_view> names) {
    for (auto it = object_.begin(); it != object_.end(); ++it) {
      const std::string name = it.key().toStdString();
      if (std::find(names.begin(), names.end(), name) == names.end()) {
        Fail("field '" + path_prefix_ + name.substr(0, 64) + "' is unknown",
             "remove it or correct its spelling");
      }
    }
  }

  std::string ReadName(std::string_view field) {
    const QJsonValue value = object_.value(ToQString(field));
    std::string text = value.toString().toStdString();
    if (!value.isString() || !IsValidName(text)) {
      Fail("field '" + path_prefix_ + std::string(field) + "' must be a name",
           std::string(kNameRule));
    }
    return text;
  }

  /// \returns the duration, or 0 when the field is missing or invalid.
  std::chrono::milliseconds ReadDuration(std::string_view field) {
    const QJsonValue value = object_.value(ToQString(field));
    const double number = value.toDouble(-1);
    if (value.isUndefined()) {
      return {};
    }
    const auto limit = static_cast<double>(kMaxDeadline.count());
    if (!value.isDouble() || number < 1 || number > limit ||
        number != std::floor(number)) {
      Fail("field '" + path_prefix_ + std::string(field) +
               "' must be a duration in milliseconds",
           "give a whole number from 1 to 600000");
      return {};
    }
    return std::chrono::milliseconds(static_cast<std::int64_t>(number));
  }

  /// Records an error unless there is one already.
  void Fail(std::string message, std::string remedy) {
    if (!failure_) {
      failure_ = error{error_kind::kInvalidArgument, std::move(message),
                       std::move(remedy)};
    }
  }

  const std::optional<error>& failure() const { return failure_; }

 private:
  const QJsonObject& object_;
  std::string path_prefix_;
  std::optional<error> failure_;
};

std::string CompactJson(const QJsonValue& value) {
  // QJsonDocument writes only arrays and objects, so the value is wrapped.
  const QByteArray text =
      QJsonDocument(QJsonArray{value}).toJson(QJsonDocument::Compact);
  return text.mid(1, text.size() - 2).toStdString();
}

result<task_spec> DecodeTask(const QJsonValue& value, qsizetype index) {
  const std::string path_prefix = "tasks[" + std::to_string(index) + "].";
  if (!value.isObject()) {
    return InvalidArgument("field '" +
                               path_prefix.substr(0, path_prefix.size() - 1) +
                               "' must be an object",
                           "give {\"kind\":...,\"payload\":...}");
  }
  const QJsonObject object = value.toObject();
  field_reader reader(object, path_prefix);
  reader.AllowOnly({"kind", "payload", "declared_ms", "preferred_rack"});
  task_spec task;
  task.kind = reader.ReadName("kind");
  if (const auto declared = reader.ReadDuration("declared_ms");
      declared.count() > 0) {
    task.declared = declared;
  }
  if (object.contains(ToQString("preferred_rack"))) {
    task.preferred_rack = reader.ReadName("preferred_rack");
  }
  if (reader.failure()) {
    return tl::unexpected<error>(*reader.failure());
  }
  const QJsonValue payload = object.value(ToQString("payload"));
  task.payload = payload.isUndefined() ? "null" : CompactJson(payload);
  return task;
}

result<std::vector<task_spec>> DecodeTasks(const QJsonValue& value) {
  const QJsonArray array = value.toArray();
  if (!value.isArray() || array.isEmpty() ||
      array.size() > static_cast<qsizetype>(kMaxTasksPerJob)) {
    return InvalidArgument(
        "field 'tasks' must be an array of 1 to 1900 tasks, not " +
            (value.isArray() ? std::to_string(array.size())
                             : std::string("another type")),
        "split a larger job into several");
  }
  std::vector<task_spec> tasks;
  tasks.reserve(static_cast<std::size_t>(array.size()));
  for (qsizetype i = 0; i < array.size(); ++i) {
    result<task_spec> task = DecodeTask(array.at(i), i);
    if (!task) {
      return tl::unexpected<error>(task.error());
    }
    tasks.push_back(std::move(*task));
  }
  return tasks;
}

void DecodeRequestKey(const QJsonObject& object,
                      job_spec& spec,
                      field_reader& reader) {
  const QJsonValue idempotent = object.value(ToQString("idempotent"));
  if (!idempotent.isBool()) {
    reader.Fail("field 'idempotent' must be true or false",
                "state whether the job may run more than once");
  }
  spec.idempotent = idempotent.toBool();
  const QJsonValue key = object.value(ToQString("request_key"));
  spec.request_key = key.toString().toStdString();
  if (!key.isUndefined() && !key.isString()) {
    reader.Fail("field 'request_key' must be a string",
                "give \"<unix-ms>-<name>\"");
  }
  if (!spec.idempotent && spec.request_key.empty()) {
    reader.Fail("field 'request_key' is missing on a non-idempotent job",
                "give \"<unix-ms>-<name>\" and keep it when submitting again");
  }
  if (spec.request_key.size() > 128) {
    reader.Fail("field 'request_key' is longer than 128 characters",
                "shorten its name part");
  }
}

}  // namespace

result<job_spec> DecodeJob(std::string_view body) {
  QJsonParseError parse_error;
  // Qt's parser rejects more than 1,024 levels of nesting, so a body cannot
  // exhaust the stack.
  const QJsonDocument document = ParseJson(
      QByteArray::fromRawData(body.data(), static_cast<qsizetype>(body.size())),
      &parse_error);
  if (parse_error.error != QJsonParseError::NoError) {
    return InvalidArgument(
        "the body is not JSON: " + parse_error.errorString().toStdString() +
            " at byte " + std::to_string(parse_error.offset),
        "send a JSON object in UTF-8");
  }
  if (!document.isObject()) {
    return InvalidArgument(
        "the body is not a JSON object",
        "send {\"service\":...,\"team\":...,\"idempotent\":...,"
        "\"tasks\":[...]}");
  }
  const QJsonObject object = document.object();
  field_reader reader(object, "");
  reader.AllowOnly({"service", "team", "idempotent", "request_key",
                    "deadline_ms", "same_rack", "tasks"});
  job_spec spec;
  spec.service = reader.ReadName("service");
  spec.team = reader.ReadName("team");
  DecodeRequestKey(object, spec, reader);
  spec.deadline = reader.ReadDuration("deadline_ms");
  const QJsonValue same_rack = object.value(ToQString("same_rack"));
  spec.same_rack = same_rack.toBool();
  if (!same_rack.isUndefined() && !same_rack.isBool()) {
    reader.Fail("field 'same_rack' must be true or false",
                "leave it out when the tasks may run anywhere");
  }
  if (reader.failure()) {
    return tl::unexpected<error>(*reader.failure());
  }
  result<std::vector<task_spec>> tasks =
      DecodeTasks(object.value(ToQString("tasks")));
  if (!tasks) {
    return tl::unexpected<error>(tasks.error());
  }
  spec.tasks = std::move(*tasks);
  return spec;
}

std::string QuoteJson(std::string_view text) {
  return CompactJson(QJsonValue(ToQString(text)));
}

std::string EncodeOutcome(std::string_view id, const job_outcome& outcome) {
  std::string out = "{\"job\":" + (id.empty() ? "null" : QuoteJson(id));
  if (!outcome) {
    const job_failure& failure = outcome.error();
    out += R"(,"outcome":"failed","error":{"effect":)";
    out += QuoteJson(ToString(failure.effect));
    out += ",\"code\":" + QuoteJson(failure.code);
    out += ",\"message\":" + QuoteJson(failure.message);
    out += ",\"remedy\":" + QuoteJson(failure.remedy) + "}}";
    return out;
  }
  out += R"(,"outcome":"complete","results":[)";
  const char* separator = "";
  for (const std::string& result_json : outcome->results) {
    out += separator;
    out += result_json.empty() ? "null" : result_json;
    separator = ",";
  }
  return out + "]}";
}

job_outcome CheckResults(job_outcome outcome) {
  if (!outcome) {
    return outcome;
  }
  for (std::size_t i = 0; i < outcome->results.size(); ++i) {
    const std::string& result_json = outcome->results[i];
    const QJsonDocument document = QJsonDocument::fromJson(
        QByteArray("[" + QByteArray::fromStdString(result_json) + "]"));
    if (!result_json.empty() &&
        (!document.isArray() || document.array().size() != 1)) {
      return MakeJobFailure(
          job_effect::kRanAndFailed, "bad_result",
          "the result of task " + std::to_string(i) + " is not JSON",
          "correct the service; its answers must be JSON");
    }
  }
  return outcome;
}

int HttpStatusOf(const job_outcome& outcome) {
  if (outcome) {
    return 200;
  }
  // Codes whose status does not follow from the effect; see docs/api.md.
  static constexpr std::array<std::pair<std::string_view, int>, 14>
      kStatusByCode{{
          {"invalid_request", 400},
          {"invalid_job", 400},
          {"too_many_tasks", 400},
          {"deadline_too_long", 400},
          {"key_malformed", 400},
          {"key_expired", 400},
          {"key_in_future", 400},
          {"already_ran", 409},
          {"key_reused", 409},
          {"running_elsewhere", 409},
          {"body_too_large", 413},
          {"queue_full", 429},
          {"claims_full", 429},
          {"deadline_exceeded", 504},
      }};
  for (const auto& [code, status] : kStatusByCode) {
    if (code == outcome.error().code) {
      return status;
    }
  }
  switch (outcome.error().effect) {
    case job_effect::kNotRun:
      return 503;
    case job_effect::kMayHaveRun:
      return 504;
    case job_effect::kRanAndFailed:
      return 502;
    case job_effect::kRan:
      return 409;
  }
  return 504;
}

}  // namespace jayrill
