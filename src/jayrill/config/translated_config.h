#ifndef JAYRILL_CONFIG_TRANSLATED_CONFIG_H_
#define JAYRILL_CONFIG_TRANSLATED_CONFIG_H_

#include <map>
#include <memory>
#include <string>

#include "jayrill/base/error.h"
#include "jayrill/config/config_keeper.h"
#include "jayrill/store/store.h"
#include "jayrill/store/watch_log.h"

namespace jayrill {

/// Reads a configuration that operators keep in the store in another form.
class config_translator {
 public:
  /// Values by key.
  using items = std::map<std::string, std::string, std::less<>>;

  virtual ~config_translator() = default;

  /// \returns the prefix of the keys that hold the configuration.
  virtual std::string Prefix() const = 0;

  /// \returns the configuration in \p stored without a revision, or an error
  /// when they hold none that is valid.
  virtual result<cluster_config> Translate(const items& stored) const = 0;
};

/// Follows a configuration that operators keep in the store in another form.
///
/// Its revisions are those of the store. A configuration that was read from the
/// store replaces one that came through a session only under the revision as of
/// which it was read, so that revisions grow at every holder. While the stored
/// items cannot be read, the last configuration stays in force.
class translated_config final : public config_keeper {
 public:
  /// \p backing and \p translator must outlive this object. The watch of
  /// \p backing has to call on_progress.
  translated_config(store& backing,
                    const config_translator& translator,
                    listener receiver);

  void Offer(shared config) override;
  const shared& current() const override { return holder_.current(); }

 private:
  void OnEvent(const store_event& event);
  void OnProgress(store_revision as_of);

  const config_translator& translator_;
  listener listener_;
  config_holder holder_;
  config_translator::items items_;
  store_revision newest_;  ///< Of the items and their deletions.
  bool changed_ = true;    ///< Since the last translation.
  shared stored_;          ///< The last translation; null: none is valid.
  watch_log log_{"config", "configuration"};
  std::unique_ptr<store::watch_handle> watch_;
};

}  // namespace jayrill

#endif  // JAYRILL_CONFIG_TRANSLATED_CONFIG_H_
