#ifndef JAYRILL_ENTRY_H_
#define JAYRILL_ENTRY_H_

/// \file
/// Umbrella header of the entry module: admission, placement and outcomes of
/// jobs, and the service for agents.

#include "jayrill/entry/dispatch_port.h"
#include "jayrill/entry/dispatch_service.h"
#include "jayrill/entry/dispatch_settings.h"
#include "jayrill/entry/dispatcher.h"

#endif  // JAYRILL_ENTRY_H_
