#ifndef JAYRILL_METRICS_METRIC_REGISTRY_H_
#define JAYRILL_METRICS_METRIC_REGISTRY_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "jayrill/metrics/counter.h"
#include "jayrill/metrics/duration_histogram.h"
#include "jayrill/metrics/gauge.h"

namespace jayrill {

/// Label names and values of one series, in the order of their exposition.
using metric_labels = std::vector<std::pair<std::string, std::string>>;

/// All metrics of a process. Safe from several threads.
///
/// A name belongs to one type. References stay valid as long as the registry.
class metric_registry {
 public:
  /// Label values may come from callers, so the series of a name are limited;
  /// further label values share the series with the value `other`.
  static constexpr std::size_t kMaxSeries = 512;

  counter& Counter(std::string_view name,
                   std::string_view help,
                   const metric_labels& labels = {});
  gauge& Gauge(std::string_view name,
               std::string_view help,
               const metric_labels& labels = {});
  duration_histogram& Histogram(std::string_view name,
                                std::string_view help,
                                const metric_labels& labels = {});

  /// Adds a function that brings gauges up to date before each exposition.
  void OnCollect(std::function<void(metric_registry&)> update);

  /// \returns all metrics in the text exposition format, version 0.0.4.
  std::string Expose();

 private:
  using metric = std::variant<std::unique_ptr<counter>,
                              std::unique_ptr<gauge>,
                              std::unique_ptr<duration_histogram>>;
  struct family {
    std::string help;
    std::map<metric_labels, metric> series;
  };

  template <typename T>
  T& Find(std::string_view name,
          std::string_view help,
          const metric_labels& labels);

  std::mutex mutex_;
  std::map<std::string, family, std::less<>> families_;
  std::vector<std::function<void(metric_registry&)>> updates_;
};

}  // namespace jayrill

#endif  // JAYRILL_METRICS_METRIC_REGISTRY_H_
