#include "jayrill/config/translated_config_source.h"

#include <glog/logging.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace jayrill {

namespace {

// \returns true when both are equal apart from their revisions.
bool EqualExceptRevision(const cluster_config& left,
                         const cluster_config& right) {
  const auto content = [](const cluster_config& config) {
    return std::tie(config.profiles, config.services, config.routes,
                    config.teams, config.data_centres, config.audit);
  };
  return content(left) == content(right);
}

}  // namespace

translated_config_source::translated_config_source(
    store& backing,
    const config_translator& translator,
    listener receiver)
    : translator_(translator), listener_(std::move(receiver)) {
  store::watch_listener watcher;
  watcher.on_event = [this](const store_event& event) { OnEvent(event); };
  watcher.on_confirmed = [] {};
  watcher.on_progress = [this](const watch_progress& progress) {
    OnProgress(progress);
  };
  watcher.on_interrupted = [this](const error& failure) {
    log_.OnInterrupted(failure);
  };
  watch_ = backing.Watch(translator_.Prefix(), std::move(watcher));
  if (listener_.on_out_list) {
    WatchOut(backing);
  }
}

void translated_config_source::WatchOut(store& backing) {
  store::watch_listener watcher;
  watcher.on_event = [this](const store_event& event) { OnOutEvent(event); };
  watcher.on_progress = [this](const watch_progress& progress) {
    OnOutProgress(progress);
  };
  watcher.on_interrupted = [this](const error& failure) {
    out_log_.OnInterrupted(failure);
  };
  out_watch_ = backing.Watch(translator_.OutPrefix(), std::move(watcher));
}

void translated_config_source::OnOutEvent(const store_event& event) {
  const std::string prefix = translator_.OutPrefix();
  if (!event.key.starts_with(prefix)) {
    return;
  }
  const std::string data_centre = event.key.substr(prefix.size());
  if (event.value) {
    out_.insert(data_centre);
  } else {
    out_.erase(data_centre);
  }
  LOG(INFO) << "config: data centre " << data_centre
            << (event.value ? " is out" : " is not out any more");
}

void translated_config_source::OnOutProgress(const watch_progress& progress) {
  out_log_.OnWorking();
  listener_.on_out_list({{progress.as_of.value}, out_}, progress.asked);
}

void translated_config_source::ReportOutItems(const watch_progress& progress) {
  if (!listener_.on_out_list) {
    return;
  }
  const std::string prefix = translator_.OutPrefix();
  out_list list{{progress.as_of.value}, {}};
  for (auto item = items_.lower_bound(prefix);
       item != items_.end() && item->first.starts_with(prefix); ++item) {
    list.data_centres.insert(item->first.substr(prefix.size()));
  }
  listener_.on_out_list(list, progress.asked);
}

void translated_config_source::OnEvent(const store_event& event) {
  items_changed_ = true;
  newest_item_revision_ = std::max(newest_item_revision_, event.revision);
  if (event.value) {
    items_.insert_or_assign(event.key, *event.value);
  } else {
    items_.erase(event.key);
  }
}

void translated_config_source::OnProgress(const watch_progress& progress) {
  log_.OnWorking();
  ReportOutItems(progress);
  if (UpdateConfig(progress.as_of)) {
    listener_.on_confirmed();
  }
}

bool translated_config_source::UpdateConfig(store_revision as_of) {
  if (std::exchange(items_changed_, false)) {
    result<cluster_config> translated = translator_.Translate(items_);
    if (!translated) {
      LOG(ERROR) << "config: " << ToString(translated.error()) << "; revision "
                 << holder_.revision().value << " stays in force";
      translation_ = nullptr;
      return false;
    }
    translation_ =
        std::make_shared<const cluster_config>(std::move(*translated));
  }
  if (!translation_ || as_of.value < holder_.revision().value) {
    return false;  // The watch is behind a configuration of a session.
  }
  if (holder_.revision().value == 0 ||
      !EqualExceptRevision(*translation_, *holder_.current())) {
    cluster_config next = *translation_;
    next.revision.value = newest_item_revision_.value > holder_.revision().value
                              ? newest_item_revision_.value
                              : as_of.value;
    Offer(std::make_shared<const cluster_config>(std::move(next)));
  }
  return true;
}

void translated_config_source::Offer(shared config) {
  if (holder_.Offer(std::move(config))) {
    LOG(INFO) << "config: revision " << holder_.revision().value
              << " is in force here";
    listener_.on_config(holder_.current());
  }
}

}  // namespace jayrill
