#ifndef JAYRILL_ENTRY_DISPATCH_METRICS_H_
#define JAYRILL_ENTRY_DISPATCH_METRICS_H_

#include "jayrill/entry/dispatch_port.h"
#include "jayrill/metrics.h"

namespace jayrill {

/// Updates the metrics of the dispatcher in \p metrics from \p status.
void UpdateMetrics(const dispatch_status& status, metric_registry& metrics);

}  // namespace jayrill

#endif  // JAYRILL_ENTRY_DISPATCH_METRICS_H_
