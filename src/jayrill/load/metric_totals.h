#ifndef JAYRILL_LOAD_METRIC_TOTALS_H_
#define JAYRILL_LOAD_METRIC_TOTALS_H_

#include <compare>
#include <optional>
#include <string_view>

namespace jayrill {

/// \returns the sum of all series called \p name in \p exposition, the text of
/// /metrics, or nothing when there is none.
std::optional<double> SumOfMetric(std::string_view exposition,
                                  std::string_view name);

/// Counters of the entries that a load report uses. One that is absent is not
/// reported.
struct metric_totals {
  std::optional<double> messages;
  std::optional<double> wasted;
  std::optional<double> starts;

  auto operator<=>(const metric_totals&) const = default;
};

/// \returns the counters in \p exposition.
metric_totals ReadTotals(std::string_view exposition);

/// \returns the counters of two entries together; one that either lacks is
/// absent.
metric_totals Sum(const metric_totals& a, const metric_totals& b);

/// \returns the growth from \p before to \p after; a counter that fell is
/// absent, because its process was restarted in between.
metric_totals Growth(const metric_totals& before, const metric_totals& after);

}  // namespace jayrill

#endif  // JAYRILL_LOAD_METRIC_TOTALS_H_
