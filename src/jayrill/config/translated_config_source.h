#ifndef JAYRILL_CONFIG_TRANSLATED_CONFIG_SOURCE_H_
#define JAYRILL_CONFIG_TRANSLATED_CONFIG_SOURCE_H_

#include <map>
#include <memory>
#include <set>
#include <string>

#include "jayrill/base/error.h"
#include "jayrill/config/config_source.h"
#include "jayrill/store/store.h"
#include "jayrill/store/watch_log.h"

namespace jayrill {

/// Converts a configuration that operators keep in the store in a form other
/// than that of jayrill.
class config_translator {
 public:
  /// Stored values by key.
  using items = std::map<std::string, std::string, std::less<>>;

  virtual ~config_translator() = default;

  /// \returns the prefix of the keys that hold the configuration.
  virtual std::string Prefix() const = 0;

  /// \returns the prefix of the keys that each take out the data centre that
  /// the rest of the key names. They are small and are followed on their own,
  /// so that they do not wait behind a large configuration.
  virtual std::string OutPrefix() const = 0;

  /// \returns the configuration in \p stored, with the revision left at 0, or
  /// an error when \p stored holds no valid configuration.
  virtual result<cluster_config> Translate(const items& stored) const = 0;
};

/// Follows a configuration that operators keep in the store in a form other
/// than that of jayrill. Never writes it.
///
/// The revisions of the configuration are revisions of the store. A
/// configuration that was received over a session may have a higher revision
/// than the stored items. If the items differ from it, their translation gets
/// the store revision as of which they are complete, so that the revision grows
/// at every process. While the stored items are not valid, the last
/// configuration stays in force.
///
/// Must be used on the thread of the store only.
class translated_config_source final : public config_source {
 public:
  /// \p backing and \p translator must outlive this object. Watches of
  /// \p backing must call on_progress.
  translated_config_source(store& backing,
                           const config_translator& translator,
                           listener receiver);

  void Offer(shared config) override;
  const shared& current() const override { return holder_.current(); }

 private:
  /// Follows the data centres that are out, ahead of the configuration.
  void WatchOut(store& backing);
  void OnOutEvent(const store_event& event);
  void OnOutProgress(const watch_progress& progress);
  void OnEvent(const store_event& event);
  void OnProgress(const watch_progress& progress);
  /// Translates items_ if they have changed, and offers the result.
  /// \returns false when they hold no valid configuration, or one that is older
  /// than the one in force.
  bool UpdateConfig(store_revision as_of);
  /// Passes the data centres that are out by items_ to the listener.
  void ReportOutItems(const watch_progress& progress);

  const config_translator& translator_;
  listener listener_;
  config_holder holder_;
  config_translator::items items_;
  /// Newest revision of an item, deletions included.
  store_revision newest_item_revision_;
  bool items_changed_ = true;  ///< Since the last translation.
  shared translation_;         ///< Of items_; null while they are not valid.
  watch_log log_{"config", "configuration"};
  std::unique_ptr<store::watch_handle> watch_;
  std::set<std::string> out_;  ///< Data centres that are out.
  watch_log out_log_{"config", "data centres that are out"};
  std::unique_ptr<store::watch_handle> out_watch_;
};

}  // namespace jayrill

#endif  // JAYRILL_CONFIG_TRANSLATED_CONFIG_SOURCE_H_
