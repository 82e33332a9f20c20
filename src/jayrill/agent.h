#ifndef JAYRILL_AGENT_H_
#define JAYRILL_AGENT_H_

/// \file
/// Umbrella header of the agent module: the process beside each minion that
/// admits or refuses each start and calls the minion.

#include "jayrill/agent/agent_core.h"
#include "jayrill/agent/agent_counters.h"
#include "jayrill/agent/agent_process.h"
#include "jayrill/agent/agent_settings.h"
#include "jayrill/agent/announce_api.h"
#include "jayrill/agent/announcement.h"
#include "jayrill/agent/backoff.h"
#include "jayrill/agent/config_copy.h"
#include "jayrill/agent/entry_link.h"
#include "jayrill/agent/entry_session.h"
#include "jayrill/agent/minion_client.h"
#include "jayrill/agent/report_schedule.h"
#include "jayrill/agent/run_guard.h"
#include "jayrill/agent/run_queue.h"
#include "jayrill/agent/task_call.h"

#endif  // JAYRILL_AGENT_H_
