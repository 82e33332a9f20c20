#ifndef JAYRILL_LOAD_METRIC_TOTALS_H_
#define JAYRILL_LOAD_METRIC_TOTALS_H_

#include <compare>
#include <optional>
#include <string_view>

namespace jayrill {

/// \returns the sum of all series of the metric \p name in \p exposition, a
/// response of /metrics; nothing when it has no such series.
std::optional<double> SumOfMetric(std::string_view exposition,
                                  std::string_view name);

/// Sums of the message counters that a load report uses. The report shows an
/// absent one as not known.
struct metric_totals {
  std::optional<double> messages;
  std::optional<double> wasted;
  std::optional<double> starts;

  auto operator<=>(const metric_totals&) const = default;
};

/// \returns the totals in \p exposition.
metric_totals ReadTotals(std::string_view exposition);

/// \returns the totals of two entries added up; a counter that is absent in
/// either is absent in the sum.
metric_totals Sum(const metric_totals& a, const metric_totals& b);

/// \returns the increase from \p before to \p after. A counter that decreased
/// is absent, because a process was restarted in between.
metric_totals Growth(const metric_totals& before, const metric_totals& after);

}  // namespace jayrill

#endif  // JAYRILL_LOAD_METRIC_TOTALS_H_
