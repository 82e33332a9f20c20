#ifndef JAYRILL_LOAD_POISSON_ARRIVALS_H_
#define JAYRILL_LOAD_POISSON_ARRIVALS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "jayrill/base/random_source.h"
#include "jayrill/load/arrival_source.h"

namespace jayrill {

/// A name that is drawn in proportion to its weight.
struct weighted_name {
  std::string name;
  double weight = 1.0;

  auto operator<=>(const weighted_name&) const = default;
};

/// Distribution of the jobs of a load run.
struct job_shape {
  std::uint32_t tasks_min = 1;  ///< Task counts are uniform.
  std::uint32_t tasks_max = 20;
  /// Most run times are log-uniform between these two.
  std::chrono::microseconds work_min{50'000};
  std::chrono::microseconds work_max{1'000'000};
  /// Share of long tasks, uniform between the next two.
  double long_share = 0.03;
  std::chrono::microseconds long_min{2'000'000};
  std::chrono::microseconds long_max{5'000'000};
  /// Declared times are wrong by a log-uniform factor up to this one.
  double declared_error = 10.0;
  std::uint32_t kinds = 8;  ///< Kinds are bands of run time.
  std::vector<weighted_name> services{{"sample", 1.0}};
  std::vector<weighted_name> teams{{"load", 1.0}};
  double idempotent_share = 1.0;
  std::chrono::milliseconds deadline{30'000};
};

/// Open-loop arrivals with exponential gaps; the same for the same seed.
class poisson_arrivals final : public arrival_source {
 public:
  /// \param rate jobs per second; must be positive.
  poisson_arrivals(job_shape shape,
                   double rate,
                   std::chrono::microseconds duration,
                   std::uint64_t seed);

  /// Adds one job-burst at \p offset, of as many jobs as it takes to reach
  /// \p tasks tasks. Called before the first Next.
  void AddBurst(std::chrono::microseconds offset, std::uint32_t tasks);

  std::optional<planned_job> Next() override;

 private:
  planned_job MakeJob(std::chrono::microseconds offset);
  planned_task MakeTask();
  const std::string& Draw(const std::vector<weighted_name>& names);

  const job_shape shape_;
  const double rate_;
  const std::chrono::microseconds duration_;
  random_source random_;
  double next_offset_us_ = 0;
  std::chrono::microseconds burst_offset_{};
  std::uint32_t burst_tasks_ = 0;
};

/// \returns the mean work of one job of \p shape, by its distributions.
std::chrono::microseconds MeanJobWork(const job_shape& shape);

}  // namespace jayrill

#endif  // JAYRILL_LOAD_POISSON_ARRIVALS_H_
