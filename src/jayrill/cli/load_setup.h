#ifndef JAYRILL_CLI_LOAD_SETUP_H_
#define JAYRILL_CLI_LOAD_SETUP_H_

#include <memory>

#include "jayrill/base/error.h"
#include "jayrill/load/arrival_source.h"
#include "jayrill/load/poisson_arrivals.h"

namespace jayrill {

/// \returns the job distribution that the flags of `load` describe.
job_shape ShapeFromFlags();

/// \returns the rate of jobs per second: --rate, or --load_percent of what the
/// fleet can do.
double RateFromFlags(const job_shape& shape);

/// \returns the jobs that the flags of `load` describe.
result<std::unique_ptr<arrival_source>> ArrivalsFromFlags();

/// Sets the profile `load-<service>` of each service when --urgencies is given.
result<void> SetUrgencies();

}  // namespace jayrill

#endif  // JAYRILL_CLI_LOAD_SETUP_H_
