#include "jayrill/load/poisson_arrivals.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

#include "jayrill/load/time_units.h"

namespace jayrill {
namespace {

using std::chrono::microseconds;

microseconds RoundToMicroseconds(double count) {
  return microseconds(std::llround(count));
}

/// Rounds \p count microseconds to whole milliseconds, at least 1. Requests
/// carry run times in whole milliseconds, so jobs are planned with them.
microseconds RoundToMs(double count) {
  return std::max(
      std::chrono::round<std::chrono::milliseconds>(RoundToMicroseconds(count)),
      std::chrono::milliseconds(1));
}

/// Maps \p uniform, drawn uniformly from [0, 1), to a log-uniform value between
/// \p low and \p high.
double LogUniform(double low, double high, double uniform) {
  return low * std::pow(high / low, uniform);
}

}  // namespace

poisson_arrivals::poisson_arrivals(job_shape shape,
                                   double rate,
                                   microseconds duration,
                                   std::uint64_t seed)
    : shape_(std::move(shape)),
      rate_(rate),
      duration_(duration),
      random_(seed) {
  assert(rate > 0 && "the rate must be positive");
  assert(shape_.tasks_min >= 1 && shape_.tasks_max >= shape_.tasks_min &&
         "a job must have at least one task");
  assert(!shape_.services.empty() && !shape_.teams.empty() &&
         "at least one service and one team must be named");
}

void poisson_arrivals::AddBurst(microseconds offset, std::uint32_t tasks) {
  burst_offset_ = offset;
  burst_tasks_ = tasks;
}

std::optional<planned_job> poisson_arrivals::Next() {
  if (next_offset_us_ == 0) {
    // The first job also arrives after a random gap, since a run would
    // otherwise always begin with a job at offset 0.
    next_offset_us_ =
        -std::log1p(-random_.Unit()) / rate_ * kMicrosecondsPerSecond;
  }
  if (burst_tasks_ > 0 && burst_offset_ <= duration_ &&
      ToMicroseconds(burst_offset_) <= next_offset_us_) {
    planned_job job = MakeJob(burst_offset_);
    const auto tasks = static_cast<std::uint32_t>(job.tasks.size());
    burst_tasks_ -= std::min(burst_tasks_, tasks);
    return job;
  }
  if (next_offset_us_ >= ToMicroseconds(duration_)) {
    return std::nullopt;
  }
  planned_job job = MakeJob(RoundToMicroseconds(next_offset_us_));
  next_offset_us_ +=
      -std::log1p(-random_.Unit()) / rate_ * kMicrosecondsPerSecond;
  return job;
}

planned_job poisson_arrivals::MakeJob(microseconds offset) {
  planned_job job;
  job.offset = offset;
  job.service = DrawName(shape_.services);
  job.team = DrawName(shape_.teams);
  job.idempotent = random_.Unit() < shape_.idempotent_share;
  job.deadline = shape_.deadline;
  const std::uint64_t count =
      shape_.tasks_min +
      random_.Below(shape_.tasks_max - shape_.tasks_min + 1ULL);
  job.tasks.reserve(count);
  for (std::uint64_t i = 0; i < count; ++i) {
    job.tasks.push_back(MakeTask());
  }
  return job;
}

planned_task poisson_arrivals::MakeTask() {
  const bool is_long = random_.Unit() < shape_.long_share;
  const double uniform = random_.Unit();
  const double work =
      is_long ? ToMicroseconds(shape_.long_min) +
                    (uniform * (ToMicroseconds(shape_.long_max) -
                                ToMicroseconds(shape_.long_min)))
              : LogUniform(ToMicroseconds(shape_.work_min),
                           ToMicroseconds(shape_.work_max), uniform);
  const double error = LogUniform(1.0 / shape_.declared_error,
                                  shape_.declared_error, random_.Unit());
  const auto band = static_cast<std::uint32_t>(uniform * shape_.kinds);
  planned_task task;
  task.kind = is_long ? "long" : "band" + std::to_string(band);
  task.work = RoundToMs(work);
  task.declared = RoundToMs(work * error);
  return task;
}

const std::string& poisson_arrivals::DrawName(
    const std::vector<weighted_name>& names) {
  double total = 0;
  for (const weighted_name& candidate : names) {
    total += candidate.weight;
  }
  double remaining_weight = random_.Unit() * total;
  for (const weighted_name& candidate : names) {
    remaining_weight -= candidate.weight;
    if (remaining_weight < 0) {
      return candidate.name;
    }
  }
  return names.back().name;
}

microseconds MeanJobWork(const job_shape& shape) {
  const double low = ToMicroseconds(shape.work_min);
  const double high = ToMicroseconds(shape.work_max);
  const double mean_short =
      high > low ? (high - low) / std::log(high / low) : low;
  const double mean_long =
      (ToMicroseconds(shape.long_min) + ToMicroseconds(shape.long_max)) / 2;
  const double mean_task =
      (mean_short * (1 - shape.long_share)) + (mean_long * shape.long_share);
  return RoundToMicroseconds(mean_task * (shape.tasks_min + shape.tasks_max) /
                             2.0);
}

}  // namespace jayrill
