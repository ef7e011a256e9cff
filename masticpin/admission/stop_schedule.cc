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

bool StopSchedule::AcceptsExecution(TimePoint now,
                                    TimePoint deadline,
                                    std::optional<Duration> longest_run) const {
  if (!this->stopping) {
    return true;
  }
  if (this->IsExecutionOver(now)) {
    return false;
  }
  return this->EndsBeforeExit(deadline) ||
         (longest_run && this->EndsBeforeExit(now + *longest_run * this->settings.run_time_factor));
}

bool StopSchedule::IsExecutionOver(TimePoint now) const {
  return this->stopping && now >= this->begin + this->settings.execution_time;
}

bool StopSchedule::IsMinDurationOver(TimePoint now) const {
  return this->stopping && now >= this->begin + this->settings.min_duration;
}

bool StopSchedule::IsDeliveryDue(TimePoint now) const {
  return this->stopping && !this->EndsBeforeExit(now);
}

bool StopSchedule::MustExit(TimePoint now) const {
  return this->stopping && now >= this->ExitAt();
}

TimePoint StopSchedule::ExitAt() const {
  return this->begin + this->settings.stop_time - this->settings.exit_margin;
}

bool StopSchedule::EndsBeforeExit(TimePoint end) const {
  return end <= this->ExitAt() - this->settings.answer_time;
}

}  // namespace masticpin
