#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>

#include "masticpin/testing/fake_clock.h"
#include "masticpin/testing/seeded_random.h"

namespace masticpin {

/// A timer that calls a function.
class FunctionTimer : public TimerSubscriber {
 public:
  explicit FunctionTimer(std::function<void()> function) : function(std::move(function)) {}
  void OnTimer(TimePoint) override { this->function(); }

 private:
  std::function<void()> function;
};

/// An upstream with a number of slots and a FIFO backlog. Service times are uniformly distributed
/// between 0.5 and 1.5 times the mean.
class SimulatedUpstream {
 public:
  struct Job {
    explicit Job(std::function<void()> done) : end(std::move(done)) {}
    FunctionTimer end;
  };

  SimulatedUpstream(FakeClock& clock, SeededRandom& random, std::uint32_t slots, Duration mean)
      : clock(clock), random(random), slots(slots), mean(mean) {}

  /// Service times of jobs that start from now on are multiplied by `factor`.
  void SetSlowdown(int factor) { this->slowdown = factor; }

  /// Makes service times exponentially distributed, as with requests of very different size.
  void SetExponential(bool on) { this->exponential = on; }

  /// Starts or queues a job. Its timer fires at its end, when the owner must call End().
  void Begin(Job& job) {
    ++this->job_count;
    this->max_job_count = std::max(this->max_job_count, this->job_count);
    if (this->job_count <= this->slots) {
      this->Run(job);
    } else {
      this->backlog.push_back(&job);
    }
  }

  /// Gives the slot of a job that has ended or was cancelled to the next one in the backlog.
  void End(Job& job) {
    this->clock.Cancel(job.end);
    --this->job_count;
    if (!this->backlog.empty()) {
      Job& next = *this->backlog.front();
      this->backlog.pop_front();
      this->Run(next);
    }
  }

  /// Highest number of jobs, running and in the backlog, at one time.
  std::uint32_t MaxJobCount() const { return this->max_job_count; }

 private:
  void Run(Job& job) {
    const auto range = static_cast<std::uint64_t>(this->mean.count());
    Duration time = this->mean / 2 + Duration(this->random.NextBelow(range));
    if (this->exponential) {
      const double uniform = (static_cast<double>(this->random.Next() >> 11) + 1) / 0x1p53;
      time = std::chrono::duration_cast<Duration>(-std::log(uniform) * this->mean);
    }
    this->clock.Schedule(job.end, this->clock.Now() + time * this->slowdown);
  }

  FakeClock& clock;
  SeededRandom& random;
  const std::uint32_t slots;
  const Duration mean;
  int slowdown = 1;
  bool exponential = false;
  std::uint32_t job_count = 0;
  std::uint32_t max_job_count = 0;
  std::deque<Job*> backlog;
};

}  // namespace masticpin
