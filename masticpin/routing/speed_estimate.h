#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "masticpin/base/time.h"
#include "masticpin/routing/speed_estimate_settings.h"
#include "masticpin/routing/speed_record.h"
#include "masticpin/routing/work_time_report.h"

namespace masticpin {

/// Estimates the speed of the instances of one service from the work times that their nodes report.
///
/// Routes take different times, and not every instance has a report of every route. The logarithm
/// of a work time is therefore taken as the sum of one part for the route and one for the instance,
/// which are fitted by least squares; each update continues the fit of the one before. The usual
/// pace is the lower median of the instances with data: if only few differ, the others have exactly
/// the pace 1 and are chosen as without the estimate. Not thread-safe.
class SpeedEstimate {
 public:
  using Settings = SpeedEstimateSettings;

  explicit SpeedEstimate(Settings settings = {}) : settings(settings) {}

  /// `record` must stay valid, at the same address, until Remove().
  void Add(SpeedRecord& record) { this->records.push_back(&record); }
  void Remove(const SpeedRecord& record);

  void OnReport(SpeedRecord& record,
                std::uint32_t route,
                const WorkTimeReport& report,
                TimePoint now);

  /// Recomputes the paces if there are new reports or old ones have expired, and the last update
  /// was long enough ago. Returns whether they were recomputed.
  bool UpdateIfDue(TimePoint now);

  /// Whether an instance had another pace than the usual one at the last update.
  bool IsUneven() const { return this->uneven; }

  /// The pace to assume now; 1 if the last measurement has expired. If the instance was slow and
  /// is being tried again (`is_tried`), its pace is kept for as long once more, so that a single
  /// request tells whether it has recovered.
  double PaceOf(const SpeedRecord& record, bool is_tried, TimePoint now) const {
    if (record.pace == 1) {
      return 1;
    }
    const bool keeps = is_tried && record.pace > 1;
    const Duration max_age = keeps ? this->settings.max_age * 2 : this->settings.max_age;
    return now - record.measured_at < max_age ? record.pace : 1;
  }

  /// Whether the instance has a measurement that has not expired.
  bool IsKnown(const SpeedRecord& record, TimePoint now) const {
    return record.known && now - record.measured_at < this->settings.max_age;
  }

 private:
  struct RouteMean {
    double sum = 0;
    double weight = 0;
    /// Logarithm of the work time of the route at an instance of average speed.
    double log_work = 0;
  };

  /// Weight of a report in the fit; 0 if it is empty or has expired.
  double WeightOf(const SpeedRecord& record,
                  const SpeedRecord::RouteReport& report,
                  TimePoint now) const;
  void FitRoutes(TimePoint now);
  void FitInstances(TimePoint now);
  void ApplyPaces(TimePoint now);

  const Settings settings;
  std::vector<SpeedRecord*> records;
  std::unordered_map<std::uint32_t, RouteMean> routes;
  /// Logarithms of the paces of instances with data; kept to avoid allocations.
  std::vector<double> known_paces;
  bool has_reports = false;
  bool uneven = false;
  TimePoint updated_at{};
};

}  // namespace masticpin
