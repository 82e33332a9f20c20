#ifndef JAYRILL_CONFIG_H_
#define JAYRILL_CONFIG_H_

/// \file
/// Umbrella header of the config module: the operators' configuration, its
/// rules, its JSON form, the changes that operators make, the holder of the
/// newest revision and the link to the store.

#include "jayrill/config/cluster_config.h"
#include "jayrill/config/config_change.h"
#include "jayrill/config/config_codec.h"
#include "jayrill/config/config_holder.h"
#include "jayrill/config/config_store.h"

#endif  // JAYRILL_CONFIG_H_
