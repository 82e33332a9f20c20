#include "jayrill/load/metric_totals.h"

#include <absl/strings/numbers.h>

#include <algorithm>

namespace jayrill {
namespace {

using optional_count = std::optional<double>;

/// \returns the value in \p line when it is a sample of the metric \p name.
optional_count ValueOf(std::string_view line, std::string_view name) {
  if (!line.starts_with(name) || line.size() == name.size()) {
    return std::nullopt;
  }
  const char delimiter = line[name.size()];
  if (delimiter != '{' && delimiter != ' ') {
    return std::nullopt;
  }
  // Label values may contain spaces and braces, so the value is searched for
  // after the last closing brace.
  const std::size_t labels =
      delimiter == '{' ? line.rfind('}') : name.size() - 1;
  const std::size_t begin = line.find_first_not_of(' ', labels + 1);
  if (labels == std::string_view::npos || begin == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view rest = line.substr(begin);
  const std::string_view number = rest.substr(0, rest.find(' '));
  double value = 0;
  if (!absl::SimpleAtod({number.data(), number.size()}, &value)) {
    return std::nullopt;
  }
  return value;
}

optional_count SumOf(optional_count a, optional_count b) {
  return a && b ? optional_count(*a + *b) : std::nullopt;
}

optional_count GrowthOf(optional_count before, optional_count after) {
  return before && after && *after >= *before ? optional_count(*after - *before)
                                              : std::nullopt;
}

}  // namespace

optional_count SumOfMetric(std::string_view exposition, std::string_view name) {
  optional_count sum;
  while (!exposition.empty()) {
    const std::size_t end = std::min(exposition.find('\n'), exposition.size());
    if (const optional_count value = ValueOf(exposition.substr(0, end), name)) {
      sum = sum.value_or(0) + *value;
    }
    exposition.remove_prefix(std::min(end + 1, exposition.size()));
  }
  return sum;
}

metric_totals ReadTotals(std::string_view exposition) {
  return {SumOfMetric(exposition, "jayrill_messages_total"),
          SumOfMetric(exposition, "jayrill_wasted_messages_total"),
          SumOfMetric(exposition, "jayrill_starts_total")};
}

metric_totals Sum(const metric_totals& a, const metric_totals& b) {
  return {SumOf(a.messages, b.messages), SumOf(a.wasted, b.wasted),
          SumOf(a.starts, b.starts)};
}

metric_totals Growth(const metric_totals& before, const metric_totals& after) {
  return {GrowthOf(before.messages, after.messages),
          GrowthOf(before.wasted, after.wasted),
          GrowthOf(before.starts, after.starts)};
}

}  // namespace jayrill
