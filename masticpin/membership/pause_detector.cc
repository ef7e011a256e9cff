#include "masticpin/membership/pause_detector.h"

#include <utility>

namespace masticpin {

PauseDetector::PauseDetector(const Clock& clock,
                             TimerService& timers,
                             Callback callback,
                             Settings settings)
    : clock(clock), timers(timers), callback(std::move(callback)), settings(settings) {}

void PauseDetector::Start() {
  this->running = true;
  this->expected = this->clock.Now() + this->settings.period;
  this->timers.Schedule(*this, this->expected);
}

void PauseDetector::OnTimer(TimePoint now) {
  if (!this->CheckAt(now)) {
    this->expected = now + this->settings.period;
    this->timers.Schedule(*this, this->expected);
  }
}

bool PauseDetector::Check() {
  return this->CheckAt(this->clock.Now());
}

bool PauseDetector::CheckAt(TimePoint now) {
  if (!this->running || now - this->expected <= this->settings.min_pause) {
    return false;
  }
  const Duration late = now - this->expected;
  // The timer is rescheduled before the callback, which may call Check() again.
  this->expected = now + this->settings.period;
  this->timers.Schedule(*this, this->expected);
  this->callback(late);
  return true;
}

}  // namespace masticpin
