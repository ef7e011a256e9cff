#include "masticpin/membership/pause_detector.h"

#include <utility>

namespace masticpin {

namespace {

constexpr Duration kPeriod = std::chrono::milliseconds(100);

// Minimum delay that counts as a pause. Scheduling delays on a busy machine stay well below it;
// after a longer one, the reports of peers about themselves and others may be out of date.
constexpr Duration kMinPauseLength = std::chrono::seconds(1);

}  // namespace

PauseDetector::PauseDetector(const Clock& clock, TimerService& timers, Callback callback)
    : clock(clock), timers(timers), callback(std::move(callback)) {}

void PauseDetector::Start() {
  this->running = true;
  this->expected = this->clock.Now() + kPeriod;
  this->timers.Schedule(*this, this->expected);
}

void PauseDetector::OnTimer(TimePoint now) {
  if (!this->CheckAt(now)) {
    this->expected = now + kPeriod;
    this->timers.Schedule(*this, this->expected);
  }
}

bool PauseDetector::Check() {
  return this->CheckAt(this->clock.Now());
}

bool PauseDetector::CheckAt(TimePoint now) {
  if (!this->running || now - this->expected <= kMinPauseLength) {
    return false;
  }
  const Duration late = now - this->expected;
  // The timer is rescheduled before the callback, which may call Check() again.
  this->expected = now + kPeriod;
  this->timers.Schedule(*this, this->expected);
  this->callback(late);
  return true;
}

}  // namespace masticpin
