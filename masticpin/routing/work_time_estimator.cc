#include "masticpin/routing/work_time_estimator.h"

#include <algorithm>
#include <cmath>

namespace masticpin {

WorkTimeEstimator::WorkTimeEstimator(const Clock& clock, Settings settings)
    : clock(clock), settings(settings) {}

void WorkTimeEstimator::Record(std::uint32_t route, Duration work) {
  if (!this->routes.contains(route) && this->routes.size() >= this->settings.max_routes) {
    this->ForgetOldest();
  }
  Mean& mean = this->routes[route];
  const double weight = this->WeightOf(mean.measured_at);
  const double nanoseconds = static_cast<double>(std::max(work, this->settings.min_work).count());
  mean.log_sum = mean.log_sum * weight + std::log(nanoseconds);
  mean.samples = mean.samples * weight + 1;
  mean.measured_at = this->clock.Now();
}

WorkTimeReport WorkTimeEstimator::Report(std::uint32_t route) const {
  WorkTimeReport report;
  const auto found = this->routes.find(route);
  if (found == this->routes.end()) {
    return report;
  }
  const Mean& mean = found->second;
  const Duration age = this->clock.Now() - mean.measured_at;
  if (age >= this->settings.max_age) {
    return report;
  }
  report.work = Duration(std::llround(std::exp(mean.log_sum / mean.samples)));
  const double samples = std::round(mean.samples * this->WeightOf(mean.measured_at));
  report.samples = static_cast<std::uint32_t>(
      std::clamp(samples, 1.0, static_cast<double>(this->settings.max_samples)));
  report.age = age;
  return report;
}

double WorkTimeEstimator::WeightOf(TimePoint measured_at) const {
  const std::chrono::duration<double> age = this->clock.Now() - measured_at;
  const std::chrono::duration<double> decay_time = this->settings.decay_time;
  return std::exp(-age.count() / decay_time.count());
}

void WorkTimeEstimator::ForgetOldest() {
  const auto oldest = std::min_element(this->routes.begin(), this->routes.end(),
                                       [](const auto& left, const auto& right) {
                                         return left.second.measured_at < right.second.measured_at;
                                       });
  if (oldest != this->routes.end()) {
    this->routes.erase(oldest);
  }
}

}  // namespace masticpin
