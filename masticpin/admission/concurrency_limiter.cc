#include "masticpin/admission/concurrency_limiter.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace masticpin {

namespace {

/// A new service time has a weight of 1/16 in the moving average, which thus follows a change
/// within about 16 requests.
constexpr int kSmoothingDivisor = 16;

/// Bounds of the number of round trips in one average. With more than 5, the limiter reacts too
/// late, for example with 10 slots and a service time of 500 ms. With fewer than 2, the average
/// right after a start is too low, because short requests are the first to complete.
constexpr std::uint32_t kMaxRoundTrips = 5;
constexpr std::uint32_t kMinRoundTrips = 2;

/// Minimum duration of one round. Without it, a reference window can hold 3,000 short rounds, and
/// the lowest of their averages, the reference, is so far below the mean that the mean itself
/// counts as congestion.
constexpr Duration kMinRoundTime = std::chrono::milliseconds(100);

/// If halving the limit leaves the latency above this share of its previous value, concurrency is
/// not its cause: with queueing it would have fallen to about one half.
constexpr double kIneffectiveDecreaseRatio = 0.75;

/// Growth per round trip below `fast_growth_threshold`, as a share of the limit. With growth by one
/// request per round trip, 170 slots of 600 ms took 77 s to come into use; a larger share would
/// overshoot the maximum latency ratio within one average.
constexpr double kFastGrowth = 0.2;

/// Growth per round trip from that threshold on, as a share of the limit, but at least one request.
constexpr double kSlowGrowth = 0.05;

/// A latency of up to this multiple of the reference counts as unchanged; round averages vary by
/// 10%.
constexpr double kUnchangedRatio = 1.2;

}  // namespace

ConcurrencyLimiter::ConcurrencyLimiter(const LimiterSettings& settings, std::uint32_t ceiling)
    : settings(settings), ceiling(ceiling) {
  assert(ceiling >= 1);
  this->Restart();
}

std::uint32_t ConcurrencyLimiter::Limit() const {
  const auto whole = static_cast<std::uint32_t>(this->limit);
  return std::clamp<std::uint32_t>(whole, 1, this->ceiling);
}

void ConcurrencyLimiter::SetCeiling(std::uint32_t new_ceiling) {
  assert(new_ceiling >= 1);
  // If the limit starts at the whole ceiling and is at the ceiling, it follows a higher ceiling.
  if (this->settings.initial_share >= 1 && this->limit >= this->ceiling) {
    this->limit = new_ceiling;
  }
  this->ceiling = new_ceiling;
  this->limit = std::min<double>(this->limit, new_ceiling);
  this->saved_limit = std::min<double>(this->saved_limit, new_ceiling);
  this->decrease_start_limit = std::min<double>(this->decrease_start_limit, new_ceiling);
}

void ConcurrencyLimiter::OnSuccess(TimePoint now, Duration service_time, std::uint32_t in_flight) {
  this->expected_service_time =
      this->expected_service_time == Duration::zero()
          ? service_time
          : this->expected_service_time +
                (service_time - this->expected_service_time) / kSmoothingDivisor;

  this->RecordShortest(now, service_time);

  // Increase the limit only while it is fully used.
  const bool used = in_flight >= this->Limit();
  if (used && !this->congested && !this->measuring) {
    // Each completion adds its share of the growth per round trip. Without a reference, growth is
    // slow: the first average becomes the reference and must be measured near the initial limit.
    const bool fast = this->limit<this->fast_growth_threshold&& this->reference> Duration::zero();
    const double growth = std::max(1 / this->limit, fast ? kFastGrowth : kSlowGrowth);
    this->limit = std::min<double>(this->limit + growth, this->ceiling);
  }

  if (!this->settings.use_latency) {
    return;
  }

  // Requests admitted under the full limit do not count in a measurement at half the limit.
  if (this->measuring && now < this->measuring_from) {
    return;
  }
  if (this->round_count == 0) {
    this->round_start = now;
  }
  ++this->round_count;
  this->round_sum += service_time;
  if (this->round_count >= this->RoundSize() && now - this->round_start >= kMinRoundTime) {
    this->EndRound(now);
  } else if (this->congested && this->limit > this->decrease_start_limit / 2) {
    this->Decrease(now);
  }
}

void ConcurrencyLimiter::OnShed(TimePoint now) {
  this->Decrease(now);
}

void ConcurrencyLimiter::Restart() {
  this->limit = std::max(std::floor(this->ceiling * this->settings.initial_share), 1.0);
  this->fast_growth_threshold = this->ceiling;
  this->reference = Duration::zero();
  this->congested = false;
  this->measuring = false;
  this->ClearRound();
}

Duration ConcurrencyLimiter::ExpectedServiceTime() const {
  return this->expected_service_time;
}

Duration ConcurrencyLimiter::ShortestServiceTime() const {
  const Duration shortest = std::min(this->shortest_current, this->shortest_previous);
  return shortest == Duration::max() ? Duration::zero() : shortest;
}

void ConcurrencyLimiter::RecordShortest(TimePoint now, Duration service_time) {
  if (now - this->shortest_start >= this->settings.reference_window) {
    this->shortest_previous = this->shortest_current;
    this->shortest_current = Duration::max();
    this->shortest_start = now;
  }
  this->shortest_current = std::min(this->shortest_current, service_time);
}

std::uint32_t ConcurrencyLimiter::RoundSize() const {
  const std::uint32_t limit_now = this->Limit();
  return std::max(kMinRoundTrips * limit_now,
                  std::min(this->settings.round_samples, kMaxRoundTrips * limit_now));
}

void ConcurrencyLimiter::EndRound(TimePoint now) {
  const Duration average = this->round_sum / this->round_count;
  this->ClearRound();
  if (this->measuring) {
    this->EndReferenceMeasurement(now, average);
    return;
  }
  if (this->reference == Duration::zero() || average < this->reference) {
    this->SetReference(now, average);
  }

  // Requests begin to queue: from here on, grow slowly.
  if (average > kUnchangedRatio * this->reference) {
    this->fast_growth_threshold = std::min(this->fast_growth_threshold, this->limit);
  }
  if (average > this->settings.max_latency_ratio * this->reference) {
    this->OnCongestedRound(now, average);
    return;
  }
  this->congested = false;

  // Renew an old reference. If the latency has not changed, the average becomes the reference.
  // Otherwise measure it at half the limit: a reference taken under load would let the limit drift
  // upwards.
  if (now - this->reference_time < this->settings.reference_window) {
    return;
  }
  if (average <= kUnchangedRatio * this->reference) {
    this->SetReference(now, average);
  } else {
    this->measuring = true;
    this->measuring_from = now + average;
    this->saved_limit = this->limit;
    this->limit = std::max(this->limit / 2, 1.0);
  }
}

void ConcurrencyLimiter::OnCongestedRound(TimePoint now, Duration average) {
  const bool halved =
      this->congested && this->limit <= std::max(this->decrease_start_limit / 2, 1.0);
  if (halved && average > kIneffectiveDecreaseRatio * this->decrease_start_latency) {
    // Fewer concurrent requests did not make the upstream faster: it is slow, not congested. A
    // lower limit would only leave slots unused.
    this->SetReference(now, average);
    this->limit = this->decrease_start_limit;
    this->congested = false;
    return;
  }
  if (halved || !this->congested) {
    this->decrease_start_limit = this->limit;
    this->decrease_start_latency = average;
  }
  this->congested = true;
  this->Decrease(now);
}

void ConcurrencyLimiter::EndReferenceMeasurement(TimePoint now, Duration average) {
  this->SetReference(now, average);
  this->limit = this->saved_limit;
  this->measuring = false;
}

void ConcurrencyLimiter::SetReference(TimePoint now, Duration latency) {
  this->reference = latency;
  this->reference_time = now;
}

void ConcurrencyLimiter::Decrease(TimePoint now) {
  // The effect of a decrease becomes visible after one round trip.
  if (now - this->last_decrease < this->expected_service_time) {
    return;
  }
  this->last_decrease = now;
  this->limit = std::max(this->limit * this->settings.decrease_factor, 1.0);
  this->fast_growth_threshold = this->limit;
}

void ConcurrencyLimiter::ClearRound() {
  this->round_count = 0;
  this->round_sum = Duration::zero();
}

}  // namespace masticpin
