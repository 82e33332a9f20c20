#ifndef JAYRILL_LOAD_TRACE_H_
#define JAYRILL_LOAD_TRACE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jayrill/base/error.h"
#include "jayrill/load/arrival_source.h"

namespace jayrill {

/// \returns \p job as one line of JSON without the newline. Times are in
/// milliseconds with up to three decimals.
std::string EncodeTraceLine(const planned_job& job);

/// \returns the job in \p line, or an error kInvalidArgument.
result<planned_job> DecodeTraceLine(std::string_view line);

/// Replays the jobs of a trace, sorted by send time.
class trace_arrivals final : public arrival_source {
 public:
  explicit trace_arrivals(std::vector<planned_job> jobs);

  /// \returns the trace in \p text, one job per line; blank lines are skipped.
  /// An error kInvalidArgument names the line.
  static result<trace_arrivals> Parse(std::string_view text);

  std::optional<planned_job> Next() override;

  std::size_t size() const { return jobs_.size(); }

 private:
  std::vector<planned_job> jobs_;
  std::size_t next_ = 0;
};

}  // namespace jayrill

#endif  // JAYRILL_LOAD_TRACE_H_
