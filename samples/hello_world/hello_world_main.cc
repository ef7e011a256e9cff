// Shows how to embed the library. Offers twelve requests of two kinds to an upstream with two slots
// and prints whether each one was admitted or refused. Exits with 1 if a more important request was
// refused before a less important one.

#include <algorithm>
#include <deque>
#include <iostream>
#include <random>
#include <string>

#include "masticpin/admission/admission_controller.h"
#include "masticpin/base/timer_queue.h"
#include "masticpin/manifest/manifest_parser.h"

namespace {

using masticpin::Duration;
using std::chrono::milliseconds;

constexpr char kManifest[] =
    "[manifest]\nversion = 1\nsite = example\n"
    "[service ballot]\nslots = 2\nconnections = 10\n"
    "[kind ballot/tally]\nimportance = 2\nidempotent = yes\ndeadline_ms = 1000\n"
    "attempts = 1\ncaller_tries = 1\nkey = optional\n"
    "[kind ballot/vote]\nimportance = 8\nidempotent = no\ndeadline_ms = 1000\n"
    "attempts = 1\ncaller_tries = 1\nkey = required\n";

/// Simulated time. A real server uses a clock and a timer service with the system's monotonic time.
struct SimulatedClock : public masticpin::Clock {
  masticpin::TimePoint Now() const override { return this->now; }
  masticpin::TimePoint now{std::chrono::seconds(1)};
};

struct Random : public masticpin::RandomSource {
  std::uint64_t Next() override { return this->engine(); }
  std::mt19937_64 engine;
};

/// A request that prints the decision about it. Clears `in_order` if a less important request is
/// admitted or refused after a more important one was refused.
class Request : public masticpin::AdmissionRequest {
 public:
  void OnAdmitted() override { this->Report("admitted"); }
  void OnRefused(masticpin::ErrorKind, Duration) override {
    this->Report("refused");
    highest_refused = std::max(highest_refused, this->priority.importance);
  }

  static inline bool in_order = true;

  std::string name;

 private:
  void Report(const char* outcome) {
    std::cout << this->name << " importance=" << int{this->priority.importance} << " " << outcome
              << "\n";
    in_order = in_order && this->priority.importance >= highest_refused;
  }

  static inline std::uint8_t highest_refused = 0;
};

}  // namespace

int main() {
  const masticpin::ManifestParseResult parsed = masticpin::ManifestParser::Parse(kManifest, "text");
  if (!parsed.Ok()) {
    std::cerr << masticpin::FormatProblem(parsed.problems.front()) << "\n";
    return 2;
  }
  SimulatedClock clock;
  masticpin::TimerQueue timers;
  Random random;
  masticpin::AdmissionSettings settings;
  settings.ceiling = parsed.manifest->FindService("ballot")->slots;
  settings.queue_capacity = 4;
  masticpin::AdmissionController controller(settings, clock, timers, random);

  std::deque<Request> requests;
  for (const char* kind : {"tally", "tally", "tally", "tally", "tally", "tally", "vote", "vote",
                           "vote", "vote", "vote", "vote"}) {
    const masticpin::KindSpec& spec = *parsed.manifest->FindKind("ballot", kind);
    Request& request = requests.emplace_back();
    request.name = spec.name + "-" + std::to_string(requests.size());
    request.priority.importance = spec.importance;
    request.deadline = clock.Now() + spec.deadline;
    controller.Offer(request);
  }
  // Each request takes 40 ms at the upstream. Queued requests wait at most 100 ms.
  for (int step = 0; step < 20; ++step) {
    clock.now += milliseconds(40);
    for (Request& request : requests) {
      if (request.GetState() == Request::State::kAdmitted) {
        controller.Complete(request, masticpin::Completion::kSuccess, milliseconds(40));
      }
    }
    timers.RunDue(clock.now);
  }
  return Request::in_order ? 0 : 1;
}
