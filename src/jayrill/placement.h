#ifndef JAYRILL_PLACEMENT_H_
#define JAYRILL_PLACEMENT_H_

/// \file
/// Umbrella header of the placement module: the order of waiting tasks, the
/// choice of a minion for each, and the limits on starts (circuit breaker, slow
/// start, quota, retry budget).

#include "jayrill/placement/minion_health.h"
#include "jayrill/placement/minion_view.h"
#include "jayrill/placement/near_place.h"
#include "jayrill/placement/placement_strategy.h"
#include "jayrill/placement/quota_ledger.h"
#include "jayrill/placement/retry_budget.h"
#include "jayrill/placement/share_weight.h"
#include "jayrill/placement/slow_start.h"
#include "jayrill/placement/speed_model.h"
#include "jayrill/placement/task_queue.h"

#endif  // JAYRILL_PLACEMENT_H_
