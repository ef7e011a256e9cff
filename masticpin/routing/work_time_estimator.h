#pragma once

#include <cstdint>
#include <unordered_map>

#include "masticpin/base/clock.h"
#include "masticpin/routing/work_time_estimator_settings.h"
#include "masticpin/routing/work_time_report.h"

namespace masticpin {

/// Keeps the recent work time of the local instance for each route: the time that a request spent
/// at the instance without the time in which its inner calls were outstanding. Means are geometric,
/// because speeds are ratios and single requests may take much longer than others. Not thread-safe.
class WorkTimeEstimator {
 public:
  using Settings = WorkTimeEstimatorSettings;

  /// `clock` must outlive the estimator.
  explicit WorkTimeEstimator(const Clock& clock, Settings settings = {});

  /// Records the work time of a request that ended with a success.
  void Record(std::uint32_t route, Duration work);

  /// Returns the recent work time of `route`; it has no samples if there is none.
  WorkTimeReport Report(std::uint32_t route) const;

  /// Discards all data, because the instance is another process than before.
  void Clear() { this->routes.clear(); }

  std::size_t CountRoutes() const { return this->routes.size(); }

 private:
  struct Mean {
    double log_sum = 0;
    double samples = 0;
    TimePoint measured_at{};
  };

  /// Weight now of measurements made at `measured_at`.
  double WeightOf(TimePoint measured_at) const;
  void ForgetOldest();

  const Clock& clock;
  const Settings settings;
  std::unordered_map<std::uint32_t, Mean> routes;
};

}  // namespace masticpin
