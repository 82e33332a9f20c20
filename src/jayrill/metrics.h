#ifndef JAYRILL_METRICS_H_
#define JAYRILL_METRICS_H_

/// \file
/// Umbrella header of the metrics module: counters, gauges and histograms, and
/// the registry that writes them in the Prometheus text exposition format.

#include "jayrill/metrics/counter.h"
#include "jayrill/metrics/duration_histogram.h"
#include "jayrill/metrics/gauge.h"
#include "jayrill/metrics/metric_registry.h"

#endif  // JAYRILL_METRICS_H_
