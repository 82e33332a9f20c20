#include "jayrill/config/config_change.h"

#include <QString>
#include <algorithm>
#include <iterator>
#include <string_view>
#include <utility>

#include "jayrill/base/name.h"
#include "jayrill/config/internal/config_json.h"

namespace jayrill {

namespace {

using config::internal::ToJson;

constexpr std::size_t kMaxTextBytes = 500;
constexpr std::uint32_t kMaxUrgency = 100;

using check = result<void>;

tl::unexpected<error> Invalid(std::string message, std::string remedy) {
  return MakeError(error_kind::kInvalidArgument, std::move(message),
                   std::move(remedy));
}

check CheckName(std::string_view name) {
  if (!IsValidName(name)) {
    return Invalid("name \"" + std::string(name) + "\" is not allowed",
                   std::string(kNameRule));
  }
  return {};
}

bool IsShortText(std::string_view text) {
  return !text.empty() && text.size() <= kMaxTextBytes &&
         ToJsonText(text).toStdString() == text;  // False if not UTF-8.
}

check CheckOperatorAndReason(const config_change& change) {
  if (!IsShortText(change.operator_name)) {
    return Invalid("the change names no operator",
                   "state the operator in up to 500 bytes of UTF-8");
  }
  if (!IsShortText(change.reason)) {
    return Invalid("the change gives no reason",
                   "state the reason in up to 500 bytes of UTF-8");
  }
  return {};
}

// The JSON of an item before and after a change; empty when it is absent.
struct item_edit {
  std::string before;
  std::string after;
  // Revision of the previous change of the item; 0 if it was absent.
  config_revision changed;
};

template <typename Map>
std::string JsonOfItem(const Map& items, std::string_view name) {
  const auto found = items.find(name);
  return found == items.end() ? std::string() : ToText(ToJson(found->second));
}

template <typename Map>
item_edit Set(Map& items,
              const std::string& name,
              typename Map::mapped_type value,
              config_revision revision) {
  item_edit edit{JsonOfItem(items, name), ToText(ToJson(value)), {}};
  if (const auto found = items.find(name); found != items.end()) {
    edit.changed = found->second.changed;
  }
  value.changed = revision;
  items[name] = std::move(value);
  return edit;
}

template <typename Map>
result<item_edit> Remove(Map& items,
                         const std::string& name,
                         std::string_view kind) {
  const auto found = items.find(name);
  if (found == items.end()) {
    return MakeError(error_kind::kNotFound,
                     std::string(kind) + "/" + name + " does not exist",
                     "check the name against the configuration");
  }
  item_edit edit{ToText(ToJson(found->second)), {}, found->second.changed};
  items.erase(found);
  return edit;
}

// Applies an action to `config`, whose new revision is `revision`.
struct editor {
  cluster_config& config;
  config_revision revision;

  result<item_edit> operator()(const set_profile& action) const {
    return Set(config.profiles, action.name, action.value, revision);
  }
  result<item_edit> operator()(const remove_profile& action) const {
    return Remove(config.profiles, action.name, "profile");
  }
  result<item_edit> operator()(const bind_service& action) const {
    return Set(config.services, action.name, {action.profile, {}}, revision);
  }
  result<item_edit> operator()(const unbind_service& action) const {
    return Remove(config.services, action.name, "service");
  }
  result<item_edit> operator()(const set_team_quota& action) const {
    return Set(config.teams, action.name, {action.max_running, {}}, revision);
  }
  result<item_edit> operator()(const remove_team_quota& action) const {
    return Remove(config.teams, action.name, "team");
  }
  result<item_edit> operator()(const declare_data_centre& action) const {
    if (config.data_centres.contains(action.name)) {
      return MakeError(
          error_kind::kConflict,
          "data_centre/" + action.name + " is already declared as " +
              JsonOfItem(config.data_centres, action.name) +
              ", the change asks for " + ToText(ToJson(data_centre_state{})),
          "use out or in to change its state");
    }
    return Set(config.data_centres, action.name, {}, revision);
  }
  result<item_edit> operator()(const take_data_centre_out& action) const {
    return SetOut(action.name, true);
  }
  result<item_edit> operator()(const bring_data_centre_in& action) const {
    return SetOut(action.name, false);
  }

  result<item_edit> SetOut(const std::string& name, bool out) const {
    if (!config.data_centres.contains(name)) {
      return MakeError(error_kind::kNotFound,
                       "data_centre/" + name + " is not declared",
                       "check the name, or declare the data centre first");
    }
    return Set(config.data_centres, name, {out, {}}, revision);
  }
};

const std::string& NameOf(const config_change& change) {
  return std::visit(
      [](const auto& action) -> const std::string& { return action.name; },
      change.action);
}

// \returns the revision of the last change of `item`, its removal included.
// `changed` is the revision in the item itself, 0 when the item is absent.
config_revision LastChange(const cluster_config& config,
                           const std::string& item,
                           config_revision changed) {
  for (auto record = config.audit.rbegin(); record != config.audit.rend();
       ++record) {
    if (record->item == item) {
      return std::max(changed, record->revision);
    }
  }
  return changed;
}

check CheckBase(const cluster_config& config,
                const config_change& change,
                const item_edit& edit) {
  if (!change.base_revision) {
    return {};
  }
  const config_revision base = *change.base_revision;
  if (base > config.revision) {
    return Invalid("base revision " + std::to_string(base.value) +
                       " is above the current revision " +
                       std::to_string(config.revision.value),
                   "read the configuration again and repeat the change");
  }
  const std::string item = ItemOf(change);
  config_revision last = LastChange(config, item, edit.changed);
  // An absent item may have been removed after the base revision. When the
  // oldest record is newer than the base, the trail cannot rule that out, so
  // the change is refused.
  if (edit.changed.value == 0 && last.value == 0 && !config.audit.empty() &&
      base.value + 1 < config.audit.front().revision.value) {
    last = config.audit.front().revision;
  }
  if (last <= base) {
    return {};
  }
  const auto show = [](const std::string& value) {
    return value.empty() ? std::string("absent") : value;
  };
  return MakeError(error_kind::kConflict,
                   item + " was changed at revision " +
                       std::to_string(last.value) + ", after base revision " +
                       std::to_string(base.value) + ": it is now " +
                       show(edit.before) + ", the change asks for " +
                       show(edit.after),
                   "read the item again and repeat the change if it is still "
                   "wanted");
}

check CheckProfile(const std::string& name, const profile& value) {
  if (value.urgency > kMaxUrgency) {
    return Invalid(
        "profile/" + name + " has urgency " + std::to_string(value.urgency),
        "use an urgency from 0 to 100");
  }
  if (value.limits.max_deadline.count() < 0) {
    return Invalid("profile/" + name + " has a negative max_deadline_ms",
                   "use 0 for no limit");
  }
  for (const std::string& data_centre : value.placement.data_centres) {
    if (auto checked = CheckName(data_centre); !checked) {
      return checked;
    }
  }
  return {};
}

check CheckConsistency(const cluster_config& config) {
  for (const auto& [name, value] : config.profiles) {
    if (auto checked = CheckProfile(name, value); !checked) {
      return checked;
    }
  }
  for (const auto& [name, binding] : config.services) {
    if (!config.profiles.contains(binding.profile)) {
      return Invalid("service/" + name + " names the profile " +
                         binding.profile + ", which does not exist",
                     "set the profile first, or bind the service to another "
                     "profile before the profile is removed");
    }
  }
  return {};
}

check CheckLastInService(const cluster_config& config,
                         const config_change& change) {
  const auto* out = std::get_if<take_data_centre_out>(&change.action);
  if (out == nullptr || out->force) {
    return {};
  }
  const auto& all = config.data_centres;
  if (std::all_of(all.begin(), all.end(),
                  [](const auto& item) { return item.second.out; })) {
    return Invalid("data_centre/" + out->name +
                       " is the last one in service; no job could run",
                   "bring another data centre in first, or use force");
  }
  return {};
}

}  // namespace

std::string ItemOf(const config_change& change) {
  static constexpr std::string_view kSections[] = {
      "profile/", "profile/",     "service/",     "service/",    "team/",
      "team/",    "data_centre/", "data_centre/", "data_centre/"};
  static_assert(std::size(kSections) ==
                std::variant_size_v<config_change::action_type>);
  return std::string(kSections[change.action.index()]) + NameOf(change);
}

result<cluster_config> ApplyChange(const cluster_config& config,
                                   const config_change& change,
                                   wall_time now) {
  cluster_config next = config;
  ++next.revision.value;
  check checked = CheckOperatorAndReason(change).and_then(
      [&] { return CheckName(NameOf(change)); });
  if (!checked) {
    return tl::unexpected(checked.error());
  }
  const auto edit = std::visit(editor{next, next.revision}, change.action);
  // When the item was removed after the base revision, kConflict tells the
  // operator more than kNotFound, so the base is checked first.
  checked = CheckBase(config, change, edit.value_or(item_edit{}));
  if (checked && !edit) {
    return tl::unexpected(edit.error());
  }
  checked =
      checked.and_then([&] { return CheckConsistency(next); }).and_then([&] {
        return CheckLastInService(next, change);
      });
  if (!checked) {
    return tl::unexpected(checked.error());
  }
  next.audit.push_back({next.revision, now, change.operator_name, change.reason,
                        ItemOf(change), edit->before, edit->after,
                        change.token});
  return next;
}

std::vector<audit_record> TakeArchive(cluster_config& config) {
  if (config.audit.size() <= kMaxAuditRecords) {
    return {};
  }
  const auto end = config.audit.begin() + kAuditArchiveSize;
  std::vector<audit_record> archive(config.audit.begin(), end);
  config.audit.erase(config.audit.begin(), end);
  return archive;
}

}  // namespace jayrill
