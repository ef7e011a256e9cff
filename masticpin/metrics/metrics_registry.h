#pragma once

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

#include "masticpin/metrics/counter.h"
#include "masticpin/metrics/gauge.h"
#include "masticpin/metrics/latency_histogram.h"

namespace masticpin {

/// Label names and values of a series, in output order.
using MetricLabels = std::vector<std::pair<std::string, std::string>>;

/// Holds all metrics of a process. Thread-safe. The Get methods lock and allocate, so hot paths
/// should keep the returned reference: it is valid for the lifetime of the registry, and its use
/// neither locks nor allocates.
class MetricsRegistry {
 public:
  /// Maximum number of series of a metric, so that a label with unbounded values cannot exhaust the
  /// memory. All further series share one series with the label overflow="true".
  static constexpr std::size_t kMaxSeries = 1000;

  /// Returns the series of the counter `name` with `labels`, and creates it on the first call.
  /// `name` must be a valid Prometheus name and always be used for the same metric type; by
  /// convention the name of a counter ends with "_total". The help text of the first call is kept.
  Counter& GetCounter(std::string_view name,
                      std::string_view help,
                      const MetricLabels& labels = {});

  /// Same for a gauge.
  Gauge& GetGauge(std::string_view name, std::string_view help, const MetricLabels& labels = {});

  /// Same for a histogram; by convention the name ends with "_seconds".
  LatencyHistogram& GetHistogram(std::string_view name,
                                 std::string_view help,
                                 const MetricLabels& labels = {});

  /// Returns all metrics in the Prometheus text format 0.0.4.
  std::string WriteText() const;

 private:
  // The alternatives are pointers, so that returned references stay valid.
  using Metric = std::
      variant<std::unique_ptr<Counter>, std::unique_ptr<Gauge>, std::unique_ptr<LatencyHistogram>>;
  struct Family {
    std::string help;
    // Keyed by the formatted labels without braces.
    std::map<std::string, Metric> series;
  };

  template <typename T>
  T& Get(std::string_view name, std::string_view help, const MetricLabels& labels);

  mutable std::mutex mutex;
  std::map<std::string, Family, std::less<>> families;
};

}  // namespace masticpin
