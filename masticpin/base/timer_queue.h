#pragma once

#include <boost/intrusive/set.hpp>
#include <optional>

#include "masticpin/base/timer_service.h"

namespace masticpin {

/// Timer service whose owner calls RunDue() to run it. Not thread-safe.
class TimerQueue : public TimerService {
 public:
  void Schedule(TimerSubscriber& subscriber, TimePoint due) override;
  void Cancel(TimerSubscriber& subscriber) override;

  /// Calls all subscribers that are due at `now`, earliest first. A subscriber that schedules
  /// itself for `now` or earlier is called by the next RunDue().
  void RunDue(TimePoint now);

  /// Returns the earliest scheduled time, if any.
  std::optional<TimePoint> NextDue() const;

 private:
  struct ByDue {
    bool operator()(const TimerSubscriber& a, const TimerSubscriber& b) const {
      return a.Due() < b.Due();
    }
  };
  using Queue = boost::intrusive::multiset<TimerSubscriber,
                                           boost::intrusive::compare<ByDue>,
                                           boost::intrusive::constant_time_size<false>>;

  Queue queue;
};

}  // namespace masticpin
