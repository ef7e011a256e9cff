#include "masticpin/admission/stop_schedule.h"

#include <cassert>

namespace masticpin {

void StopSchedule::Begin(TimePoint now) {
  assert(!this->stopping);
  this->stopping = true;
  this->begin = now;
}

bool StopSchedule::AcceptsRequest(TimePoint now, TimePoint deadline) const {
  if (!this->stopping || now <= this->begin + (this->ExitAt() - this->begin) / 2) {
    return true;
  }
  return this->EndsBeforeExit(deadline);
}

bool StopSchedule::AllowsAttempt(TimePoint now, TimePoint deadline) const {
  return !this->stopping || now <= this->ExitAt() - this->settings.attempt_time ||
         this->EndsBeforeExit(deadline);
}

bool StopSchedule::IsExecutionOver(TimePoint now) const {
  return this->stopping && now >= this->begin + this->settings.execution_time;
}

bool StopSchedule::IsMinDurationOver(TimePoint now) const {
  return this->stopping && now >= this->begin + this->settings.min_duration;
}

bool StopSchedule::MustExit(TimePoint now) const {
  return this->stopping && now >= this->ExitAt();
}

TimePoint StopSchedule::ExitAt() const {
  return this->begin + this->settings.stop_time - this->settings.exit_margin;
}

bool StopSchedule::EndsBeforeExit(TimePoint deadline) const {
  return deadline <= this->ExitAt() - this->settings.answer_time;
}

}  // namespace masticpin
