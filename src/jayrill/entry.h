#ifndef JAYRILL_ENTRY_H_
#define JAYRILL_ENTRY_H_

/// \file
/// Umbrella header of the entry module: admission, placement and outcomes of
/// jobs, the RPC server for agents, the HTTP APIs and the entry role.

#include "jayrill/entry/dispatch_port.h"
#include "jayrill/entry/dispatch_service.h"
#include "jayrill/entry/dispatch_settings.h"
#include "jayrill/entry/dispatcher.h"
#include "jayrill/entry/entry_process.h"
#include "jayrill/entry/entry_settings.h"
#include "jayrill/entry/http/http_server.h"
#include "jayrill/entry/job_api.h"
#include "jayrill/entry/operator_api.h"

#endif  // JAYRILL_ENTRY_H_
