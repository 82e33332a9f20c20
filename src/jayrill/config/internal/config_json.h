#ifndef JAYRILL_CONFIG_INTERNAL_CONFIG_JSON_H_
#define JAYRILL_CONFIG_INTERNAL_CONFIG_JSON_H_

#include <QJsonObject>

#include "jayrill/config/cluster_config.h"
#include "jayrill/store/json_object.h"

namespace jayrill::config::internal {

/// \name JSON form of an item without the revision of its last change
/// Audit records and error messages show it.
/// @{
QJsonObject ToJson(const profile& value);
QJsonObject ToJson(const service_binding& value);
QJsonObject ToJson(const route& value);
QJsonObject ToJson(const team_quota& value);
QJsonObject ToJson(const data_centre_state& value);
/// @}

QJsonObject ToJson(const audit_record& value);

/// \returns the JSON form of \p value without limits and a placement that bound
/// nothing. ReadProfile reads it as it reads the whole form.
QJsonObject ToShortJson(const profile& value);

/// \name Read an item; errors are reported by json_object::Check.
/// @{
profile ReadProfile(const json_object& json);
audit_record ReadAuditRecord(const json_object& json);
/// @}

}  // namespace jayrill::config::internal

#endif  // JAYRILL_CONFIG_INTERNAL_CONFIG_JSON_H_
