#include "masticpin/routing/speed_estimate.h"

#include <algorithm>
#include <cmath>

namespace masticpin {
namespace {

/// Rounds of the fit in one update. Each update continues the previous fit, so that two are enough.
constexpr int kFitRounds = 2;

}  // namespace

void SpeedEstimate::Remove(const SpeedRecord& record) {
  std::erase(this->records, &record);
}

void SpeedEstimate::OnReport(SpeedRecord& record,
                             std::uint32_t route,
                             const WorkTimeReport& report,
                             TimePoint now) {
  if (route == 0 || report.samples == 0 || report.work <= Duration::zero() ||
      report.age >= this->settings.max_age) {
    return;
  }
  SpeedRecord::RouteReport* place = &record.reports.front();
  for (SpeedRecord::RouteReport& known : record.reports) {
    if (known.route == route) {
      place = &known;
      break;
    }
    if (known.measured_at < place->measured_at) {
      place = &known;
    }
  }
  place->route = route;
  place->log_work = std::log(static_cast<float>(report.work.count()));
  place->samples = static_cast<float>(report.samples);
  place->measured_at = now - std::max(report.age, Duration::zero());
  record.measured_at = std::max(record.measured_at, place->measured_at);
  this->has_reports = true;
}

bool SpeedEstimate::UpdateIfDue(TimePoint now) {
  const auto count = static_cast<std::int64_t>(this->records.size());
  if (!this->has_reports || now - this->updated_at < this->settings.update_pause * count) {
    return false;
  }
  this->updated_at = now;
  this->has_reports = false;
  for (int round = 0; round < kFitRounds; ++round) {
    this->FitRoutes(now);
    this->FitInstances(now);
  }
  this->ApplyPaces(now);
  return true;
}

double SpeedEstimate::WeightOf(const SpeedRecord& record,
                               const SpeedRecord::RouteReport& report,
                               TimePoint now) const {
  if (report.route == 0 || now - report.measured_at >= this->settings.max_age) {
    return 0;
  }
  const double weight = std::min(static_cast<double>(report.samples), this->settings.max_weight);
  if (report.measured_at == record.measured_at) {
    return weight;
  }
  const std::chrono::duration<double> older = record.measured_at - report.measured_at;
  const std::chrono::duration<double> fade_time = this->settings.fade_time;
  return weight * std::exp(-older.count() / fade_time.count());
}

void SpeedEstimate::FitRoutes(TimePoint now) {
  for (auto& [key, route] : this->routes) {
    route.sum = 0;
    route.weight = 0;
  }
  for (const SpeedRecord* record : this->records) {
    for (const SpeedRecord::RouteReport& report : record->reports) {
      const double weight = this->WeightOf(*record, report, now);
      if (weight > 0) {
        RouteMean& route = this->routes[report.route];
        route.sum += weight * (report.log_work - record->log_pace);
        route.weight += weight;
      }
    }
  }
  std::erase_if(this->routes, [](const auto& entry) { return entry.second.weight == 0; });
  for (auto& [key, route] : this->routes) {
    route.log_work = route.sum / route.weight;
  }
}

void SpeedEstimate::FitInstances(TimePoint now) {
  for (SpeedRecord* record : this->records) {
    double sum = 0;
    double total = this->settings.prior_weight;
    for (const SpeedRecord::RouteReport& report : record->reports) {
      const double weight = this->WeightOf(*record, report, now);
      if (weight > 0) {
        sum += weight * (report.log_work - this->routes[report.route].log_work);
        total += weight;
      }
    }
    record->log_pace = sum / total;
  }
}

void SpeedEstimate::ApplyPaces(TimePoint now) {
  this->known_paces.clear();
  for (SpeedRecord* record : this->records) {
    record->known =
        record->measured_at != TimePoint{} && now - record->measured_at < this->settings.max_age;
    if (record->known) {
      this->known_paces.push_back(record->log_pace);
    }
  }
  double usual = 0;
  if (!this->known_paces.empty()) {
    const auto middle =
        this->known_paces.begin() + static_cast<std::ptrdiff_t>((this->known_paces.size() - 1) / 2);
    std::nth_element(this->known_paces.begin(), middle, this->known_paces.end());
    usual = *middle;
  }
  this->uneven = false;
  for (SpeedRecord* record : this->records) {
    if (!record->known) {
      // PaceOf() decides how long the last pace counts.
      record->pace = this->PaceOf(*record, true, now);
      this->uneven |= record->pace != 1;
      continue;
    }
    record->pace = 1;
    double samples = 0;
    for (const SpeedRecord::RouteReport& report : record->reports) {
      if (report.route != 0 &&
          record->measured_at - report.measured_at < this->settings.fade_time) {
        samples += report.samples;
      }
    }
    const double difference = record->log_pace - usual;
    if (std::abs(difference) >
        this->settings.tolerance + this->settings.sample_deviation / std::sqrt(samples)) {
      record->pace = std::exp(difference);
      this->uneven = true;
    }
  }
}

}  // namespace masticpin
