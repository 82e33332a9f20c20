#ifndef JAYRILL_LOAD_ARRIVAL_SOURCE_H_
#define JAYRILL_LOAD_ARRIVAL_SOURCE_H_

#include <optional>

#include "jayrill/load/planned_job.h"

namespace jayrill {

/// Supplies the jobs of a load run in the order of their send times.
class arrival_source {
 public:
  virtual ~arrival_source() = default;

  /// \returns the next job, or nothing at the end of the run.
  virtual std::optional<planned_job> Next() = 0;
};

}  // namespace jayrill

#endif  // JAYRILL_LOAD_ARRIVAL_SOURCE_H_
