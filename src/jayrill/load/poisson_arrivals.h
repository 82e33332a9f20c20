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

/// A name that is drawn with a probability in proportion to its weight.
struct weighted_name {
  std::string name;
  double weight = 1.0;

  auto operator<=>(const weighted_name&) const = default;
};

/// Distributions from which the jobs of a load run are drawn.
struct job_shape {
  /// Range of the number of tasks of a job, drawn uniformly.
  std::uint32_t tasks_min = 1;
  std::uint32_t tasks_max = 20;
  /// Range of the run times of short tasks, drawn log-uniformly.
  std::chrono::microseconds work_min{50'000};
  std::chrono::microseconds work_max{1'000'000};
  double long_share = 0.03;  ///< Share of long tasks.
  /// Range of the run times of long tasks, drawn uniformly.
  std::chrono::microseconds long_min{2'000'000};
  std::chrono::microseconds long_max{5'000'000};
  /// A declared run time is the actual one multiplied by a factor that is drawn
  /// log-uniformly between 1/declared_error and declared_error.
  double declared_error = 10.0;
  /// Number of kinds of short tasks. Each kind covers an equally probable band
  /// of run times, so that the kind of a task predicts its run time.
  std::uint32_t kinds = 8;
  std::vector<weighted_name> services{{"sample", 1.0}};
  std::vector<weighted_name> teams{{"load", 1.0}};
  double idempotent_share = 1.0;
  std::chrono::milliseconds deadline{30'000};
};

/// Plans jobs as a Poisson process: the gaps between send times are
/// exponentially distributed. Equal arguments and seeds give equal jobs.
class poisson_arrivals final : public arrival_source {
 public:
  /// \param rate jobs per second; must be positive.
  poisson_arrivals(job_shape shape,
                   double rate,
                   std::chrono::microseconds duration,
                   std::uint64_t seed);

  /// Adds a burst: as many jobs at \p offset as it takes to reach \p tasks
  /// tasks. 0 tasks or an offset after the duration give no burst. Must be
  /// called before the first Next.
  void AddBurst(std::chrono::microseconds offset, std::uint32_t tasks);

  std::optional<planned_job> Next() override;

 private:
  planned_job MakeJob(std::chrono::microseconds offset);
  planned_task MakeTask();
  const std::string& DrawName(const std::vector<weighted_name>& names);

  const job_shape shape_;
  const double rate_;
  const std::chrono::microseconds duration_;
  random_source random_;
  double next_offset_us_ = 0;
  std::chrono::microseconds burst_offset_{};
  std::uint32_t burst_tasks_ = 0;
};

/// \returns the expected sum of the run times of a job of \p shape.
std::chrono::microseconds MeanJobWork(const job_shape& shape);

}  // namespace jayrill

#endif  // JAYRILL_LOAD_POISSON_ARRIVALS_H_
