#ifndef JAYRILL_CONFIG_CONFIG_STORE_H_
#define JAYRILL_CONFIG_CONFIG_STORE_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "jayrill/base/random_source.h"
#include "jayrill/config/config_change.h"
#include "jayrill/config/config_holder.h"
#include "jayrill/config/config_source.h"
#include "jayrill/store/scheduler.h"
#include "jayrill/store/store.h"

namespace jayrill {

/// Key of the configuration in the store; one value with all items and the
/// newest audit records.
inline constexpr char kConfigKey[] = "/jayrill/config";

/// Prefix of the keys under which older audit records are archived. The rest of
/// such a key is the revision of the first record in it.
inline constexpr char kAuditPrefix[] = "/jayrill/audit/";

/// Follows the configuration in the key-value store and writes the changes of
/// operators to it.
///
/// Must be used on the thread of the store only.
class config_store final : public config_source {
 public:
  /// \p backing, \p timers and \p time must outlive this object.
  config_store(store& backing,
               scheduler& timers,
               const clock& time,
               random_source random,
               listener receiver);
  ~config_store() override;

  /// Stores \p change, with retries after a lost race or a lost answer. \p done
  /// gets the configuration revision that the change has made, or an error.
  /// kUnknownOutcome means that the change may have been accepted; any other
  /// error means that it was not and will not be accepted.
  ///
  /// A change without a base revision gets the revision of the first read as
  /// its base, so that a concurrent change of the same item is a conflict.
  void Submit(config_change change, store::callback<config_revision> done);

  /// Adopts \p config if its revision is higher than the current one, and
  /// reports it to the listener.
  void Offer(shared config) override;

  /// Reads the whole audit trail, archives included, oldest record first.
  void ReadAudit(const store::callback<std::vector<audit_record>>& done);

  const shared& current() const override { return holder_.current(); }

 private:
  /// A change that Submit is storing: Read, Apply, Archive if needed, Write,
  /// and Read again after a lost race or a lost answer.
  struct submission;
  using submission_ref = std::shared_ptr<submission>;

  void Read(const submission_ref& pending);
  void Apply(const submission_ref& pending,
             const std::optional<store_entry>& found);
  void Archive(const submission_ref& pending,
               store_revision expected,
               cluster_config next,
               std::vector<audit_record> archive);
  void Write(const submission_ref& pending,
             store_revision expected,
             cluster_config next);
  bool ResolveUnknownWrite(submission& pending,
                           store_revision found,
                           const cluster_config& config);
  void Retry(const submission_ref& pending);
  void Fail(submission& pending, error failure);
  void FailOrRetry(const submission_ref& pending, const error& failure);
  void OnEvent(const store_event& event);
  void OnConfirmed();

  store& store_;
  scheduler& timers_;
  const clock& clock_;
  random_source random_;
  listener listener_;
  config_holder holder_;
  /// Revision of the last value that the watch reported and that was valid.
  config_revision stored_revision_;
  /// False while the value in the store is malformed or deleted.
  bool stored_is_readable_ = true;
  std::unique_ptr<store::watch_handle> watch_;
  callback_guard guard_;
};

}  // namespace jayrill

#endif  // JAYRILL_CONFIG_CONFIG_STORE_H_
