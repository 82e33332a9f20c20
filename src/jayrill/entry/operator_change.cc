#include "jayrill/entry/operator_change.h"

#include <QtCore/QJsonDocument>
#include <QtCore/QStringList>
#include <algorithm>
#include <initializer_list>
#include <optional>
#include <utility>

#include "jayrill/base/utf8_text.h"
#include "jayrill/config/config_codec.h"
#include "jayrill/store/json_object.h"

namespace jayrill {
namespace {

// Version 14 of the linter sees using-declarations of literals as unused.
// NOLINTNEXTLINE(google-build-using-namespace)
using namespace Qt::StringLiterals;

/// One kind of change: the method and the parts of the path that select it, the
/// fields that its body may have, and the function that reads its action.
struct change_kind {
  std::string_view method;
  std::string_view collection;
  std::string_view suffix;
  std::vector<std::string_view> fields;
  result<config_change::action_type> (*read)(std::string name,
                                             const std::string& body);
};

using action = result<config_change::action_type>;

action ReadProfileChange(std::string name, const std::string& body) {
  return DecodeProfile(body).map(
      [&](profile value) -> config_change::action_type {
        return set_profile{std::move(name), std::move(value)};
      });
}

/// \returns \p change, which was read from \p json, unless a field of \p json
/// is missing or malformed.
template <typename Action>
action Checked(const json_object& json, Action change) {
  return json.Check("the change").map([&]() -> config_change::action_type {
    return std::move(change);
  });
}

action ReadBinding(std::string name, const std::string& body) {
  const json_object json = json_object::Parse(body);
  json.Require("profile");
  return Checked(json, bind_service{std::move(name), json.Text("profile")});
}

action ReadQuota(std::string name, const std::string& body) {
  const json_object json = json_object::Parse(body);
  json.Require("max_running");
  return Checked(json,
                 set_team_quota{std::move(name), json.Number32("max_running")});
}

action ReadTakeOut(std::string name, const std::string& body) {
  const json_object json = json_object::Parse(body);
  return Checked(json,
                 take_data_centre_out{std::move(name), json.Flag("force")});
}

/// For changes that need nothing but the name in the path.
template <typename Action>
action ReadNameOnly(std::string name, const std::string&) {
  return Action{std::move(name)};
}

const std::vector<change_kind>& ChangeKinds() {
  static const std::vector<change_kind> kKinds = {
      {"Put",
       "profiles",
       "",
       {"urgency", "limits", "placement"},
       ReadProfileChange},
      {"Delete", "profiles", "", {}, ReadNameOnly<remove_profile>},
      {"Put", "services", "", {"profile"}, ReadBinding},
      {"Delete", "services", "", {}, ReadNameOnly<unbind_service>},
      {"Put", "teams", "", {"max_running"}, ReadQuota},
      {"Delete", "teams", "", {}, ReadNameOnly<remove_team_quota>},
      {"Put", "data-centres", "", {}, ReadNameOnly<declare_data_centre>},
      {"Post", "data-centres", "out", {"force"}, ReadTakeOut},
      {"Post", "data-centres", "in", {}, ReadNameOnly<bring_data_centre_in>},
  };
  return kKinds;
}

tl::unexpected<error> Invalid(std::string message, std::string remedy) {
  return MakeError(error_kind::kInvalidArgument, std::move(message),
                   std::move(remedy));
}

result<void> CheckFields(const QJsonObject& object,
                         const std::string& prefix,
                         const std::vector<std::string_view>& allowed) {
  for (auto it = object.begin(); it != object.end(); ++it) {
    const std::string name = it.key().toStdString();
    if (std::find(allowed.begin(), allowed.end(), name) == allowed.end()) {
      return Invalid("field '" + prefix + name.substr(0, 64) + "' is unknown",
                     "remove it or correct its spelling");
    }
  }
  return {};
}

result<QJsonObject> ParseBody(const QByteArray& body) {
  QJsonParseError failure;
  const QJsonDocument document = ParseJson(body, &failure);
  if (!document.isObject()) {
    return Invalid(
        "the body is not a JSON object: " + failure.errorString().toStdString(),
        "send at least {\"reason\":\"...\"}");
  }
  return document.object();
}

result<void> CheckAllFields(const QJsonObject& object,
                            std::vector<std::string_view> fields) {
  fields.insert(fields.end(), {"reason", "base_revision"});
  return CheckFields(object, "", fields)
      .and_then([&] {
        return CheckFields(object.value("limits"_L1).toObject(), "limits.",
                           {"max_tasks", "max_running", "max_deadline_ms"});
      })
      .and_then([&] {
        return CheckFields(
            object.value("placement"_L1).toObject(), "placement.",
            {"data_centres", "min_cores", "min_memory_mb", "min_accelerators"});
      });
}

result<config_change> ReadReasonAndBase(const std::string& body) {
  const json_object json = json_object::Parse(body);
  config_change change;
  change.reason = json.Text("reason");
  if (json.Has("base_revision")) {
    change.base_revision = config_revision{json.Number("base_revision")};
  }
  if (change.reason.empty()) {
    json.Reject("reason", "a text");
  }
  return json.Check("the change").map([&] { return change; });
}

}  // namespace

result<config_change> DecodeChange(const http_request& request,
                                   std::string operator_name) {
  // /v1/<collection>/<name>[/<suffix>]
  const QStringList parts =
      QString::fromStdString(request.path).split(u'/', Qt::KeepEmptyParts);
  const auto part = [&](qsizetype index) {
    return parts.value(index).toStdString();
  };
  const auto& kinds = ChangeKinds();
  const auto kind = std::find_if(
      kinds.begin(), kinds.end(), [&](const change_kind& candidate) {
        return candidate.method == request.method &&
               candidate.collection == part(2) && candidate.suffix == part(4);
      });
  if (kind == kinds.end()) {
    return MakeError(error_kind::kNotFound, "there is no such change",
                     "see docs/api.md for the methods and paths");
  }
  const result<QJsonObject> object = ParseBody(request.body);
  if (!object) {
    return tl::unexpected(object.error());
  }
  if (const auto checked = CheckAllFields(*object, kind->fields); !checked) {
    return tl::unexpected(checked.error());
  }
  const std::string body = request.body.toStdString();
  result<config_change> change = ReadReasonAndBase(body);
  if (!change) {
    return change;
  }
  action read = kind->read(part(3), body);
  if (!read) {
    return tl::unexpected(read.error());
  }
  change->action = std::move(*read);
  change->operator_name = std::move(operator_name);
  return change;
}

QJsonValue ItemValue(const cluster_config& config, const std::string& item) {
  const QString text = QString::fromStdString(item);
  const QString section = text.section(u'/', 0, 0) + u's';
  const QJsonObject all =
      QJsonDocument::fromJson(QByteArray::fromStdString(
                                  EncodeConfig(config, audit_trail::kOmitted)))
          .object();
  const QJsonValue value =
      all.value(section).toObject().value(text.section(u'/', 1));
  return value.isUndefined() ? QJsonValue() : value;
}

QJsonObject RequestedValue(const http_request& request) {
  QJsonObject value = ParseJson(request.body).object();
  value.remove("reason"_L1);
  value.remove("base_revision"_L1);
  return value;
}

}  // namespace jayrill
