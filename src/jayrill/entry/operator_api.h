#ifndef JAYRILL_ENTRY_OPERATOR_API_H_
#define JAYRILL_ENTRY_OPERATOR_API_H_

#include <functional>
#include <string>

#include "jayrill/config/config_store.h"
#include "jayrill/entry/entry_status.h"
#include "jayrill/entry/http/http_exchange.h"
#include "jayrill/entry/http/http_server.h"
#include "jayrill/metrics.h"

namespace jayrill {

/// The objects that operator_api uses. They must outlive it.
struct operator_api_dependencies {
  config_store& config;
  metric_registry& metrics;
  std::string secret;  ///< Empty: every request is refused.
  /// Calls its argument on the Qt thread with the status of this entry.
  std::function<void(std::function<void(entry_status)>)> status;
  /// \returns when the store last confirmed the configuration, if that is too
  /// long ago.
  std::function<std::optional<wall_time>()> unconfirmed_since;
};

/// The HTTP endpoints for operators: configuration, status, audit records and
/// changes of the configuration. Every request must carry the operator secret.
/// Used on the Qt main thread only.
class operator_api {
 public:
  explicit operator_api(operator_api_dependencies dependencies);

  /// Adds the endpoints to \p server.
  void AddRoutes(http_server& server);

 private:
  using handler = void (operator_api::*)(const exchange_ptr&);

  void CheckSecretAndCall(const exchange_ptr& exchange, handler operation);
  void ChangeConfig(const exchange_ptr& exchange);
  void GetConfig(const exchange_ptr& exchange);
  void GetAudit(const exchange_ptr& exchange);
  void GetStatus(const exchange_ptr& exchange);
  void Refuse(const exchange_ptr& exchange, const error& failure);
  void ReplyConflict(const exchange_ptr& exchange,
                     const std::string& item,
                     const error& failure);

  operator_api_dependencies dependencies_;
};

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_OPERATOR_API_H_
