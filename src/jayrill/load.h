#ifndef JAYRILL_LOAD_H_
#define JAYRILL_LOAD_H_

/// \file
/// Umbrella header of the load module: planned and recorded arrivals, the load
/// runner, ideal response times and the report of a load run.

#include "jayrill/load/arrival_source.h"
#include "jayrill/load/ideal.h"
#include "jayrill/load/job_request.h"
#include "jayrill/load/load_report.h"
#include "jayrill/load/load_runner.h"
#include "jayrill/load/log_histogram.h"
#include "jayrill/load/metric_totals.h"
#include "jayrill/load/planned_job.h"
#include "jayrill/load/poisson_arrivals.h"
#include "jayrill/load/report_format.h"
#include "jayrill/load/request_pool.h"
#include "jayrill/load/trace.h"
#include "jayrill/load/weighted_names.h"

#endif  // JAYRILL_LOAD_H_
