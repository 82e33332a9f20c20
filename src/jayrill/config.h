#ifndef JAYRILL_CONFIG_H_
#define JAYRILL_CONFIG_H_

/// \file
/// Umbrella header of the config module: the cluster configuration and its JSON
/// form, the changes that operators make to it with their audit records, and
/// the classes that read and write it in the key-value store.

#include "jayrill/config/cluster_config.h"
#include "jayrill/config/config_change.h"
#include "jayrill/config/config_codec.h"
#include "jayrill/config/config_holder.h"
#include "jayrill/config/config_store.h"

#endif  // JAYRILL_CONFIG_H_
