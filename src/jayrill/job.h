#ifndef JAYRILL_JOB_H_
#define JAYRILL_JOB_H_

/// \file
/// Umbrella header of the job module: jobs as clients submit them, starts and
/// results of their tasks, and the outcome of a job.

#include "jayrill/job/job_codec.h"
#include "jayrill/job/job_collector.h"
#include "jayrill/job/job_outcome.h"
#include "jayrill/job/job_spec.h"
#include "jayrill/job/start_request.h"
#include "jayrill/job/task_result.h"

#endif  // JAYRILL_JOB_H_
