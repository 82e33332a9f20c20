#ifndef JAYRILL_ENTRY_OPERATOR_CHANGE_H_
#define JAYRILL_ENTRY_OPERATOR_CHANGE_H_

#include <QtCore/QJsonObject>
#include <string>

#include "jayrill/base/error.h"
#include "jayrill/config/cluster_config.h"
#include "jayrill/config/config_change.h"
#include "jayrill/entry/http/http_exchange.h"

namespace jayrill {

/// \returns the change that an operator request asks for. Unknown fields are
/// refused, so that a misspelt limit is not silently left out.
result<config_change> DecodeChange(const http_request& request,
                                   std::string operator_name);

/// \returns the value of \p item, such as `profile/urgent`, in \p config as
/// JSON; null when it is absent.
QJsonValue ItemValue(const cluster_config& config, const std::string& item);

/// \returns the value that \p request asks for, without reason and revision.
QJsonObject RequestedValue(const http_request& request);

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_OPERATOR_CHANGE_H_
