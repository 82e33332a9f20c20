#ifndef JAYRILL_ENTRY_OPERATOR_API_H_
#define JAYRILL_ENTRY_OPERATOR_API_H_

#include <functional>
#include <string>

#include "jayrill/config/config_store.h"
#include "jayrill/entry/entry_status.h"
#include "jayrill/entry/http_exchange.h"
#include "jayrill/entry/http_server.h"
#include "jayrill/metrics.h"

namespace jayrill {

/// What operator_api works with; all of it outlives the API.
struct operator_api_parts {
  config_store& config;
  metric_registry& metrics;
  std::string secret;  ///< Empty: every request is refused.
  /// Calls its argument on the Qt thread with the status of this entry.
  std::function<void(std::function<void(entry_status)>)> status;
  /// \returns when the store last confirmed the configuration, if that is too
  /// long ago.
  std::function<std::optional<wall_time>()> unconfirmed_since;
};

/// The endpoints of the operators. Belongs to the Qt thread.
class operator_api {
 public:
  explicit operator_api(operator_api_parts parts);

  /// Adds the endpoints to \p server.
  void AddRoutes(http_server& server);

 private:
  using handler = void (operator_api::*)(const exchange_ptr&);

  void Handle(const exchange_ptr& exchange, handler handle);
  void Change(const exchange_ptr& exchange);
  void Config(const exchange_ptr& exchange);
  void Audit(const exchange_ptr& exchange);
  void Status(const exchange_ptr& exchange);
  void Refuse(const exchange_ptr& exchange, const error& failure);
  void ReplyConflict(const exchange_ptr& exchange,
                     const std::string& item,
                     const error& failure);

  operator_api_parts parts_;
};

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_OPERATOR_API_H_
