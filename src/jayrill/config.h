#ifndef JAYRILL_CONFIG_H_
#define JAYRILL_CONFIG_H_

/// \file
/// Umbrella header of the config module: the operators' configuration, its
/// rules, its JSON form and the holder of the newest revision.

#include "jayrill/config/cluster_config.h"
#include "jayrill/config/config_codec.h"

#endif  // JAYRILL_CONFIG_H_
