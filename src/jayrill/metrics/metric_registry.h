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

/// Label names and values of one series, in the order in which they are
/// written.
using metric_labels = std::vector<std::pair<std::string, std::string>>;

/// Owns the metrics of a process. Thread-safe.
///
/// A name must always be used with the same type. The first call with a name
/// and labels creates the series; later calls return the same one. References
/// stay valid until the registry is destroyed.
class metric_registry {
 public:
  /// Largest number of series of one name. Label values may come from clients,
  /// so their number has to be bounded. Further label values are counted in the
  /// series with the value `other`.
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

  /// Adds a function that updates metrics at the beginning of each Expose.
  void OnCollect(std::function<void(metric_registry&)> update);

  /// \returns all metrics in the Prometheus text exposition format, version
  /// 0.0.4.
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
  T& FindOrCreate(std::string_view name,
                  std::string_view help,
                  const metric_labels& labels);

  std::mutex mutex_;
  std::map<std::string, family, std::less<>> families_;
  std::vector<std::function<void(metric_registry&)>> updates_;
};

}  // namespace jayrill

#endif  // JAYRILL_METRICS_METRIC_REGISTRY_H_
