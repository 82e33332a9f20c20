#ifndef JAYRILL_CLI_LOAD_SETUP_H_
#define JAYRILL_CLI_LOAD_SETUP_H_

#include <memory>

#include "jayrill/base/error.h"
#include "jayrill/load/arrival_source.h"
#include "jayrill/load/poisson_arrivals.h"

namespace jayrill {

/// \returns the distribution of job sizes and run times that the flags of
/// `load` describe.
job_shape ShapeFromFlags();

/// \returns the rate in jobs per second: --rate, or if that is 0, the rate that
/// uses --load_percent of the capacity of the fleet.
double RateFromFlags(const job_shape& shape);

/// \returns the source of the jobs that the flags of `load` describe: the trace
/// in --trace, or random arrivals.
result<std::unique_ptr<arrival_source>> ArrivalsFromFlags();

/// Sets the profile `load-<service>` of each service to its urgency in
/// --urgencies and assigns the profile to the service. Does nothing without
/// --urgencies.
result<void> SetUrgencies();

}  // namespace jayrill

#endif  // JAYRILL_CLI_LOAD_SETUP_H_
