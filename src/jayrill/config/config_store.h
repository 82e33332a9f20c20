#ifndef JAYRILL_CONFIG_CONFIG_STORE_H_
#define JAYRILL_CONFIG_CONFIG_STORE_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "jayrill/base/random_source.h"
#include "jayrill/config/config_change.h"
#include "jayrill/config/config_holder.h"
#include "jayrill/config/config_keeper.h"
#include "jayrill/store/scheduler.h"
#include "jayrill/store/store.h"

namespace jayrill {

/// Key of the whole configuration and prefix of its older audit records.
inline constexpr char kConfigKey[] = "/jayrill/config";
inline constexpr char kAuditPrefix[] = "/jayrill/audit/";

/// Keeps the newest configuration of the store and submits changes to it.
///
/// Belongs to the thread of the store.
class config_store final : public config_keeper {
 public:
  /// \p backing, \p timers and \p time must outlive this object.
  config_store(store& backing,
               scheduler& timers,
               const clock& time,
               random_source random,
               listener receiver);
  ~config_store() override;

  /// Makes \p change durable. \p done gets the revision at which it is in the
  /// audit trail, or an error. An error of kind kUnknownOutcome means that the
  /// change may have been accepted, any other one that it was not and will not
  /// be.
  ///
  /// A change without a base revision is based on the configuration that is
  /// read first, so a concurrent change of the same item is a conflict.
  void Submit(config_change change, store::callback<config_revision> done);

  void Offer(shared config) override;

  /// Reads the whole audit trail with its archive, oldest record first.
  void ReadAudit(const store::callback<std::vector<audit_record>>& done);

  const shared& current() const override { return holder_.current(); }

 private:
  struct submission;
  using submission_ref = std::shared_ptr<submission>;

  void Read(const submission_ref& item);
  void Apply(const submission_ref& item,
             const std::optional<store_entry>& found);
  void Archive(const submission_ref& item,
               store_revision expected,
               cluster_config next,
               std::vector<audit_record> archive);
  void Write(const submission_ref& item,
             store_revision expected,
             cluster_config next);
  bool Settle(submission& item,
              store_revision found,
              const cluster_config& config);
  void Retry(const submission_ref& item);
  void Fail(submission& item, error failure);
  void FailOrRetry(const submission_ref& item, const error& failure);
  void OnEvent(const store_event& event);
  void OnConfirmed();

  store& store_;
  scheduler& timers_;
  const clock& clock_;
  random_source random_;
  listener listener_;
  config_holder holder_;
  config_revision stored_;  ///< Newest revision that the watch reported.
  bool readable_ = true;    ///< Whether its value could be decoded.
  std::unique_ptr<store::watch_handle> watch_;
  callback_guard guard_;
};

}  // namespace jayrill

#endif  // JAYRILL_CONFIG_CONFIG_STORE_H_
