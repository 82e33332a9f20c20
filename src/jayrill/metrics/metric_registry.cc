#include "jayrill/metrics/metric_registry.h"

#include <cassert>
#include <cmath>
#include <cstdio>

namespace jayrill {
namespace {

std::string FormatNumber(double value) {
  if (std::isinf(value)) {
    return value > 0 ? "+Inf" : "-Inf";
  }
  char text[32];
  std::snprintf(text, sizeof text, "%.6g", value);
  return text;
}

void AppendEscaped(std::string& out, std::string_view value) {
  for (const char c : value) {
    switch (c) {
      case '\\':
        out += "\\\\";
        break;
      case '"':
        out += "\\\"";
        break;
      case '\n':
        out += "\\n";
        break;
      default:
        out += c;
    }
  }
}

void AppendSample(std::string& out,
                  std::string_view name,
                  const metric_labels& labels,
                  std::string_view value) {
  out += name;
  const char* separator = "{";
  for (const auto& [label, label_value] : labels) {
    out += separator;
    out += label;
    out += "=\"";
    AppendEscaped(out, label_value);
    out += '"';
    separator = ",";
  }
  out += labels.empty() ? " " : "} ";
  out += value;
  out += '\n';
}

std::string_view TypeName(const std::unique_ptr<counter>&) {
  return "counter";
}
std::string_view TypeName(const std::unique_ptr<gauge>&) {
  return "gauge";
}
std::string_view TypeName(const std::unique_ptr<duration_histogram>&) {
  return "histogram";
}

template <typename T>
void AppendSeries(std::string& out,
                  const std::string& name,
                  const metric_labels& labels,
                  const std::unique_ptr<T>& value) {
  AppendSample(out, name, labels, std::to_string(value->value()));
}

void AppendSeries(std::string& out,
                  const std::string& name,
                  const metric_labels& labels,
                  const std::unique_ptr<duration_histogram>& value) {
  const auto buckets = value->Buckets();
  metric_labels with_bound = labels;
  with_bound.emplace_back("le", "");
  for (const duration_histogram::bucket& bucket : buckets) {
    with_bound.back().second = FormatNumber(bucket.upper_bound_seconds);
    AppendSample(out, name + "_bucket", with_bound,
                 std::to_string(bucket.cumulative_count));
  }
  AppendSample(out, name + "_sum", labels, FormatNumber(value->sum_seconds()));
  AppendSample(out, name + "_count", labels,
               std::to_string(buckets.back().cumulative_count));
}

}  // namespace

template <typename T>
T& metric_registry::FindOrCreate(std::string_view name,
                                 std::string_view help,
                                 const metric_labels& labels) {
  const std::lock_guard<std::mutex> lock(mutex_);
  auto family_position = families_.find(name);
  if (family_position == families_.end()) {
    family_position =
        families_.emplace(std::string(name), family{std::string(help), {}})
            .first;
  }
  auto& series = family_position->second.series;
  metric_labels key = labels;
  if (series.size() >= kMaxSeries && !series.contains(key)) {
    for (auto& label : key) {
      label.second = "other";
    }
  }
  auto& series_metric =
      series.try_emplace(std::move(key), std::make_unique<T>()).first->second;
  assert(std::holds_alternative<std::unique_ptr<T>>(series_metric) &&
         "a metric name belongs to one type");
  return *std::get<std::unique_ptr<T>>(series_metric);
}

counter& metric_registry::Counter(std::string_view name,
                                  std::string_view help,
                                  const metric_labels& labels) {
  return FindOrCreate<counter>(name, help, labels);
}

gauge& metric_registry::Gauge(std::string_view name,
                              std::string_view help,
                              const metric_labels& labels) {
  return FindOrCreate<gauge>(name, help, labels);
}

duration_histogram& metric_registry::Histogram(std::string_view name,
                                               std::string_view help,
                                               const metric_labels& labels) {
  return FindOrCreate<duration_histogram>(name, help, labels);
}

void metric_registry::OnCollect(std::function<void(metric_registry&)> update) {
  const std::lock_guard<std::mutex> lock(mutex_);
  updates_.push_back(std::move(update));
}

std::string metric_registry::Expose() {
  std::vector<std::function<void(metric_registry&)>> updates;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    updates = updates_;
  }
  for (const auto& update : updates) {
    update(*this);
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  std::string out;
  for (const auto& [name, metric_family] : families_) {
    out += "# HELP " + name + ' ' + metric_family.help + '\n';
    out += "# TYPE " + name + ' ';
    out += std::visit([](const auto& first) { return TypeName(first); },
                      metric_family.series.begin()->second);
    out += '\n';
    for (const auto& [labels, series] : metric_family.series) {
      std::visit(
          [&out, &name = name, &labels = labels](const auto& value) {
            AppendSeries(out, name, labels, value);
          },
          series);
    }
  }
  return out;
}

}  // namespace jayrill
