#include "masticpin/admission/admission_controller.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <vector>

#include "masticpin/testing/fake_clock.h"
#include "masticpin/testing/inversion_counter.h"
#include "masticpin/testing/seeded_random.h"

namespace masticpin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A request that records its result and then calls a function set by the test.
class RecordedRequest : public AdmissionRequest {
 public:
  void OnAdmitted() override {
    ++this->admitted;
    if (this->on_admitted) {
      this->on_admitted();
    }
  }
  void OnRefused(ErrorKind kind, Duration delay) override {
    ++this->refused;
    this->refusal = kind;
    this->retry_after = delay;
    if (this->on_refused) {
      this->on_refused();
    }
  }

  int admitted = 0;
  int refused = 0;
  ErrorKind refusal = ErrorKind::kInternal;
  Duration retry_after{};
  std::function<void()> on_admitted;
  std::function<void()> on_refused;
};

class AdmissionControllerTest : public testing::Test {
 protected:
  ~AdmissionControllerTest() override {
    this->controller.Drain();
    for (RecordedRequest& request : this->requests) {
      if (request.GetState() == AdmissionRequest::State::kAdmitted) {
        this->controller.Complete(request, Completion::kCancelled, Duration::zero());
      }
    }
  }

  RecordedRequest& Make(std::uint8_t importance, Duration remaining = seconds(1)) {
    RecordedRequest& request = this->requests.emplace_back();
    request.priority.importance = importance;
    request.deadline = this->clock.Now() + remaining;
    return request;
  }

  RecordedRequest& Offer(std::uint8_t importance, Duration remaining = seconds(1)) {
    RecordedRequest& request = this->Make(importance, remaining);
    this->controller.Offer(request);
    return request;
  }

  void Complete(RecordedRequest& request, Completion completion) {
    this->controller.Complete(request, completion, milliseconds(20));
  }

  /// Makes the upstream count as unreachable.
  void FailConnections() {
    for (int i = 0; i < 3; ++i) {
      this->Complete(this->Offer(5), Completion::kUnreachable);
    }
  }

  static AdmissionSettings Settings() {
    AdmissionSettings settings;
    settings.ceiling = 1;
    settings.queue_capacity = 3;
    return settings;
  }

  FakeClock clock;
  SeededRandom random{1};
  AdmissionController controller{Settings(), clock, clock, random};
  std::deque<RecordedRequest> requests;
};

// Guards against a queue that is ordered by arrival instead of by priority.
TEST_F(AdmissionControllerTest, AdmitsTheMostImportantFirstAndEqualOnesInOrder) {
  RecordedRequest& running = this->Offer(0);
  RecordedRequest& low = this->Offer(1);
  RecordedRequest& first = this->Offer(7);
  RecordedRequest& second = this->Offer(7);
  std::vector<RecordedRequest*> order;
  for (RecordedRequest* request : {&low, &first, &second}) {
    request->on_admitted = [&order, request, this] {
      order.push_back(request);
      this->Complete(*request, Completion::kSuccess);
    };
  }
  EXPECT_EQ(running.admitted, 1);
  this->Complete(running, Completion::kSuccess);
  EXPECT_EQ(order, (std::vector<RecordedRequest*>{&first, &second, &low}));
}

// Guards against a full queue that refuses an important request while a less important one waits.
TEST_F(AdmissionControllerTest, EvictsTheLeastImportantFromAFullQueue) {
  this->Offer(0);
  RecordedRequest& worst = this->Offer(1);
  this->Offer(2);
  this->Offer(3);
  RecordedRequest& better = this->Offer(4);
  EXPECT_EQ(worst.refusal, ErrorKind::kOverloaded);
  EXPECT_EQ(better.refused, 0);
  RecordedRequest& lower = this->Offer(1);
  EXPECT_EQ(lower.refusal, ErrorKind::kOverloaded);
  EXPECT_EQ(this->controller.Statistics().evicted, 2U);
}

// Guards against the admission of a less important request right after the refusal of an important
// one, and against a hold-down that does not end because no further event occurs.
TEST_F(AdmissionControllerTest, HoldsLessImportantRequestsDownAfterARefusal) {
  RecordedRequest& running = this->Offer(0);
  RecordedRequest& important = this->Offer(9);
  this->clock.Advance(milliseconds(100));
  ASSERT_EQ(important.refusal, ErrorKind::kOverloaded);
  EXPECT_GE(important.retry_after, milliseconds(50));
  this->clock.Advance(milliseconds(20));
  RecordedRequest& low = this->Offer(8);
  EXPECT_EQ(this->controller.GetLoad().threshold, (Priority{9, 0}.Packed()));
  this->Complete(running, Completion::kSuccess);
  this->clock.Advance(milliseconds(79));
  EXPECT_EQ(low.admitted, 0);
  this->clock.Advance(milliseconds(1));
  EXPECT_EQ(low.admitted, 1);
}

// Guards against a hold-down caused by a request that had already expired, which no capacity could
// have served.
TEST_F(AdmissionControllerTest, RefusesAnExpiredRequestWithoutHoldDown) {
  EXPECT_EQ(this->Offer(9, Duration::zero()).refusal, ErrorKind::kExpiredBeforeStart);
  EXPECT_EQ(this->Offer(0).admitted, 1);
}

// Guards against a caller with a deadline shorter than any service time, whose refusals would block
// all less important requests.
TEST_F(AdmissionControllerTest, StartsNoHoldDownForADeadlineShorterThanAnyService) {
  this->Complete(this->Offer(0), Completion::kSuccess);
  RecordedRequest& running = this->Offer(0);
  RecordedRequest& deadline_too_short = this->Offer(9, milliseconds(19));
  this->clock.Advance(milliseconds(19));
  EXPECT_EQ(deadline_too_short.refusal, ErrorKind::kExpiredBeforeStart);
  RecordedRequest& low = this->Offer(0);
  this->Complete(running, Completion::kSuccess);
  EXPECT_EQ(low.admitted, 1);

  // With just enough time, the refusal is due to lack of capacity and starts a hold-down.
  RecordedRequest& in_time = this->Offer(9, milliseconds(20));
  this->clock.Advance(milliseconds(20));
  EXPECT_EQ(in_time.refusal, ErrorKind::kExpiredBeforeStart);
  RecordedRequest& held_down = this->Offer(0);
  this->Complete(low, Completion::kSuccess);
  EXPECT_EQ(held_down.admitted, 0);
}

// Guards against starting a request too late to finish: it needs 20 ms and is offered with 50 ms
// left, so it can wait for at most 30 ms.
TEST_F(AdmissionControllerTest, RefusesWhenTooLittleTimeIsLeftForTheService) {
  this->Complete(this->Offer(0), Completion::kSuccess);
  this->Offer(0);
  RecordedRequest& waiting = this->Offer(0, milliseconds(50));
  this->clock.Advance(milliseconds(29));
  EXPECT_EQ(waiting.refused, 0);
  this->clock.Advance(milliseconds(1));
  EXPECT_EQ(waiting.refusal, ErrorKind::kExpiredBeforeStart);
}

// Guards against an upstream that gets no requests after a slow period: with an estimate of 10 s
// every request would be refused, and no completion could correct the estimate.
TEST_F(AdmissionControllerTest, AdmitsRequestsShorterThanAStaleExpectation) {
  this->controller.Complete(this->Offer(0), Completion::kSuccess, seconds(10));
  RecordedRequest& running = this->Offer(0);
  RecordedRequest& waiting = this->Offer(0, milliseconds(150));
  this->clock.Advance(milliseconds(70));
  this->Complete(running, Completion::kSuccess);
  EXPECT_EQ(waiting.admitted, 1);
}

// Guards against starting a request that expired while the process was paused.
TEST_F(AdmissionControllerTest, DropsExpiredWorkAfterAPause) {
  this->Offer(0);
  RecordedRequest& waiting = this->Offer(0);
  this->clock.Pause(seconds(5));
  EXPECT_EQ(waiting.refused, 1);
  EXPECT_EQ(waiting.admitted, 0);
}

// Guards against running a request whose caller has disconnected.
TEST_F(AdmissionControllerTest, ForgetsAWithdrawnRequest) {
  RecordedRequest& running = this->Offer(0);
  RecordedRequest& waiting = this->Offer(0);
  EXPECT_TRUE(this->controller.Withdraw(waiting));
  EXPECT_FALSE(this->controller.Withdraw(waiting));
  EXPECT_FALSE(this->controller.Withdraw(running));
  this->Complete(running, Completion::kSuccess);
  this->clock.Advance(seconds(1));
  EXPECT_EQ(waiting.admitted + waiting.refused, 0);
}

// Guards against new requests at an instance that is shutting down, and against the interruption of
// running ones.
TEST_F(AdmissionControllerTest, RefusesNewAndWaitingRequestsWhileDraining) {
  RecordedRequest& running = this->Offer(0);
  RecordedRequest& waiting = this->Offer(0);
  this->controller.Drain();
  EXPECT_EQ(waiting.refusal, ErrorKind::kDraining);
  EXPECT_EQ(waiting.retry_after, Duration::zero());
  EXPECT_EQ(this->Offer(9).refusal, ErrorKind::kDraining);
  EXPECT_EQ(running.GetState(), AdmissionRequest::State::kAdmitted);
}

// Guards against an upstream that is refused requests for good after it was only emptied once, as
// it is when its predecessor at the same address leaves.
TEST_F(AdmissionControllerTest, RefusingTheWaitingRequestsDoesNotAffectLaterOnes) {
  RecordedRequest& running = this->Offer(0);
  RecordedRequest& waiting = this->Offer(0);
  this->controller.RefuseWaiting();
  EXPECT_EQ(waiting.refusal, ErrorKind::kDraining);
  RecordedRequest& later = this->Offer(0);
  this->controller.Complete(running, Completion::kSuccess, milliseconds(1));
  EXPECT_EQ(later.admitted, 1);
}

// Guards against a hold that ends early, or only with the next event.
TEST_F(AdmissionControllerTest, HeldRequestsAreAdmittedAtTheEndOfTheHold) {
  this->controller.HoldUntil(this->clock.Now() + milliseconds(50));
  RecordedRequest& held = this->Offer(0);
  this->clock.Advance(milliseconds(49));
  EXPECT_EQ(held.admitted, 0);
  this->clock.Advance(milliseconds(1));
  EXPECT_EQ(held.admitted, 1);
  this->controller.Complete(held, Completion::kSuccess, milliseconds(1));
  this->controller.HoldUntil(this->clock.Now() + milliseconds(50));
  RecordedRequest& released = this->Offer(0);
  this->controller.HoldUntil(this->clock.Now());
  EXPECT_EQ(released.admitted, 1);
}

// Guards against requests that wait for, or fail at, an upstream that accepts no connections.
TEST_F(AdmissionControllerTest, RefusesQuicklyAndProbesWhileTheUpstreamIsUnreachable) {
  RecordedRequest& running = this->Offer(5);
  RecordedRequest& waiting = this->Offer(5);
  waiting.on_admitted = [&] { this->Complete(waiting, Completion::kUnreachable); };
  this->Complete(running, Completion::kUnreachable);
  EXPECT_EQ(this->controller.GetLoad().limit, 1U);
  this->Complete(this->Offer(5), Completion::kUnreachable);
  EXPECT_EQ(this->controller.GetLoad().limit, 0U);
  EXPECT_EQ(this->Offer(5).refusal, ErrorKind::kUpstreamUnreachable);

  // One probe at a time, and not more often than the interval.
  this->clock.Advance(milliseconds(50));
  RecordedRequest& probe = this->Offer(5);
  EXPECT_EQ(probe.admitted, 1);
  EXPECT_EQ(this->Offer(5).refusal, ErrorKind::kUpstreamUnreachable);
  this->clock.Advance(milliseconds(50));
  EXPECT_EQ(this->Offer(5).refusal, ErrorKind::kUpstreamUnreachable);
  this->Complete(probe, Completion::kUnreachable);
  RecordedRequest& next = this->Offer(5);
  EXPECT_EQ(next.admitted, 1);
  this->Complete(next, Completion::kSuccess);
  EXPECT_EQ(this->controller.GetLoad().limit, 1U);
  EXPECT_EQ(this->Offer(5).admitted, 1);
}

// Guards against an inversion while the upstream is unreachable: an important request is refused
// at once although less important ones were admitted just before.
TEST_F(AdmissionControllerTest, DelaysARefusalThatWouldBeAnInversion) {
  this->FailConnections();
  RecordedRequest& important = this->Offer(9);
  EXPECT_EQ(important.refused, 0);
  // It becomes the next probe.
  this->clock.Advance(milliseconds(50));
  EXPECT_EQ(important.admitted, 1);
  RecordedRequest& other = this->Offer(9);
  this->clock.Advance(milliseconds(50));
  EXPECT_EQ(other.refusal, ErrorKind::kUpstreamUnreachable);
}

// Guards against refused callers that all retry at the same time, or too early for the load.
TEST_F(AdmissionControllerTest, SpreadsRetriesOverATimeThatGrowsWithTheRefusalRatio) {
  this->Offer(0);
  const auto mean_and_spread = [&](int count) {
    Duration sum{};
    Duration least = Duration::max();
    Duration most{};
    for (int i = 0; i < count; ++i) {
      const Duration delay = this->Offer(0).retry_after;
      sum += delay;
      least = std::min(least, delay);
      most = std::max(most, delay);
    }
    return std::pair(sum / count, most - least);
  };
  for (int i = 0; i < 3; ++i) {
    this->Offer(1);
  }
  const Duration first = this->Offer(0).retry_after;
  EXPECT_GE(first, milliseconds(50));
  EXPECT_LE(first, milliseconds(150));
  mean_and_spread(20);
  const auto [mean, spread] = mean_and_spread(20);
  EXPECT_GE(mean, milliseconds(1500));
  EXPECT_GE(spread, mean / 2);
  mean_and_spread(1000);
  EXPECT_LE(this->Offer(0).retry_after, milliseconds(7500));
}

// Guards against a threshold that makes senders refuse requests while there is free capacity.
TEST_F(AdmissionControllerTest, ReportsAThresholdOnlyWhileItRefuses) {
  this->Offer(3);
  for (int i = 0; i < 3; ++i) {
    this->Offer(1);
  }
  EXPECT_EQ(this->controller.GetLoad().threshold, 0U);
  EXPECT_EQ(this->controller.GetLoad().queued, 3U);
  this->Offer(0);
  EXPECT_EQ(this->controller.GetLoad().threshold, (Priority{3, 0}.Packed()));
  this->clock.Advance(seconds(1));
  EXPECT_EQ(this->controller.GetLoad().threshold, 0U);
  EXPECT_EQ(this->controller.GetLoad().queued, 0U);
  EXPECT_EQ(this->controller.GetLoad().in_flight, 1U);
}

// Guards against unbounded recursion: each refusal offers the request again, 100,000 times.
TEST_F(AdmissionControllerTest, DeliversNestedDecisionsWithoutRecursion) {
  this->controller.Drain();
  RecordedRequest& request = this->Make(0);
  int depth = 0;
  request.on_refused = [&] {
    EXPECT_EQ(++depth, 1);
    if (request.refused < 100000) {
      this->controller.Offer(request);
    }
    --depth;
  };
  this->controller.Offer(request);
  EXPECT_EQ(request.refused, 100000);
}

// Guards against a callback for a request that another callback has withdrawn.
TEST_F(AdmissionControllerTest, WithdrawsARequestWhoseRefusalIsPending) {
  this->Offer(0);
  RecordedRequest& first = this->Offer(0);
  RecordedRequest& second = this->Offer(0);
  first.on_refused = [&] { EXPECT_TRUE(this->controller.Withdraw(second)); };
  this->controller.Drain();
  EXPECT_EQ(first.refused, 1);
  EXPECT_EQ(second.refused, 0);
}

/// Runs random operations on a controller, also from within callbacks, and checks the invariants
/// after each of them.
class RandomOperations {
 public:
  RandomOperations(std::uint32_t seed, std::size_t queue_capacity)
      : engine(seed), random(seed), ceiling(1 + this->NextBelow(8)) {
    AdmissionSettings settings;
    settings.ceiling = this->ceiling;
    settings.queue_capacity = queue_capacity;
    this->controller.emplace(settings, this->clock, this->clock, this->random);
  }

  void Step() {
    const std::uint32_t step = this->NextBelow(1000);
    if (step < 500) {
      this->Offer();
    } else if (step < 700) {
      this->CompleteOne();
    } else if (step < 750) {
      this->WithdrawOne();
    } else if (step < 760) {
      this->ceiling = 1 + this->NextBelow(8);
      this->controller->SetCeiling(this->ceiling);
    } else if (step < 762) {
      this->clock.Pause(milliseconds(this->NextBelow(500)));
    } else if (step < 770) {
      this->unreachable = !this->unreachable;
    } else {
      this->clock.Advance(std::chrono::microseconds(this->NextBelow(20000)));
    }
    this->Check();
  }

  /// Ends all requests and checks that each one has a result.
  void Finish() {
    this->finishing = true;
    this->controller->Drain();
    while (this->CompleteOne()) {
    }
    this->Check();
    RC_ASSERT(this->waiting.empty());
    const AdmissionStatistics& counts = this->controller->Statistics();
    RC_ASSERT(counts.offered == counts.admitted + counts.withdrawn + counts.refused_overloaded +
                                    counts.refused_expired + counts.refused_unreachable +
                                    counts.refused_draining);
  }

  std::uint64_t Inversions() const { return this->inversions.Count(); }

 private:
  struct Request : AdmissionRequest {
    explicit Request(RandomOperations& operations) : operations(operations) {}
    void OnAdmitted() override { this->operations.OnAdmitted(*this); }
    void OnRefused(ErrorKind kind, Duration) override { this->operations.OnRefused(*this, kind); }

    RandomOperations& operations;
    TimePoint offered{};
  };

  std::uint32_t NextBelow(std::uint32_t bound) {
    return static_cast<std::uint32_t>(this->engine() % bound);
  }

  void Offer() {
    Request& request = this->requests.emplace_back(*this);
    request.priority = {static_cast<std::uint8_t>(this->NextBelow(kMaxImportance + 1)),
                        static_cast<std::uint16_t>(this->NextBelow(4))};
    // Some requests have already expired. The others have at least 150 ms to wait: with less than
    // the hold-down, an inversion with an earlier admission cannot be avoided.
    request.offered = this->clock.Now();
    request.deadline = this->NextBelow(20) == 0
                           ? request.offered - milliseconds(this->NextBelow(2))
                           : request.offered + milliseconds(300 + this->NextBelow(700));
    this->waiting.push_back(&request);
    this->controller->Offer(request);
  }

  void EndWait(Request& request) { RC_ASSERT(std::erase(this->waiting, &request) == 1U); }

  void OnAdmitted(Request& request) {
    this->EndWait(request);
    this->running.push_back(&request);
    RC_ASSERT(this->clock.Now() < request.deadline);
    RC_ASSERT(this->clock.Now() <= request.offered + milliseconds(100));
    RC_ASSERT(this->running.size() <= this->ceiling);
    RC_ASSERT(this->controller->GetLoad().in_flight == this->running.size());
    for (const Request* other : this->waiting) {
      RC_ASSERT(other->GetState() != AdmissionRequest::State::kWaiting ||
                other->priority <= request.priority);
    }
    this->inversions.OnAdmitted(this->clock.Now(), request.priority.importance);
    this->Nested();
  }

  void OnRefused(Request& request, ErrorKind kind) {
    this->EndWait(request);
    if (kind != ErrorKind::kDraining && request.offered < request.deadline) {
      this->inversions.OnRefused(this->clock.Now(), request.priority.importance);
    }
    this->Nested();
  }

  void Nested() {
    if (this->finishing) {
      return;
    }
    switch (this->NextBelow(8)) {
      case 0:
        this->Offer();
        break;
      case 1:
        this->CompleteOne();
        break;
      case 2:
        this->WithdrawOne();
        break;
      default:
        break;
    }
  }

  bool CompleteOne() {
    if (this->running.empty()) {
      return false;
    }
    const std::uint32_t index = this->NextBelow(static_cast<std::uint32_t>(this->running.size()));
    Request& request = *this->running[index];
    this->running.erase(this->running.begin() + index);
    const auto kind =
        this->unreachable ? Completion::kUnreachable : static_cast<Completion>(this->NextBelow(5));
    this->controller->Complete(request, kind, milliseconds(this->NextBelow(300)));
    return true;
  }

  void WithdrawOne() {
    if (this->waiting.empty()) {
      return;
    }
    Request& request =
        *this->waiting[this->NextBelow(static_cast<std::uint32_t>(this->waiting.size()))];
    this->EndWait(request);
    RC_ASSERT(this->controller->Withdraw(request));
  }

  void Check() {
    for (const Request* request : this->waiting) {
      RC_ASSERT(request->GetState() == AdmissionRequest::State::kWaiting);
      RC_ASSERT(this->clock.Now() < request->offered + milliseconds(100));
      RC_ASSERT(this->clock.Now() < request->deadline);
    }
    RC_ASSERT(this->controller->GetLoad().queued == this->waiting.size());
    if (this->waiting.empty() && this->running.empty()) {
      this->requests.clear();
    }
  }

  std::mt19937 engine;
  FakeClock clock;
  SeededRandom random;
  std::uint32_t ceiling;
  std::optional<AdmissionController> controller;
  InversionCounter inversions;
  std::deque<Request> requests;
  std::vector<Request*> waiting;
  std::vector<Request*> running;
  bool unreachable = false;
  bool finishing = false;
};

// Guards against requests that are lost, decided twice, started late or started above the ceiling,
// and against inversions, for any order of operations. Each case is a seed, because cases of 2,000
// generated operations take too long to shrink.
RC_GTEST_PROP(AdmissionControllerProperty, EveryRequestEndsOnceAndInTime, (std::uint32_t seed)) {
  RandomOperations operations(seed, 100000);
  for (int i = 0; i < 2000; ++i) {
    operations.Step();
  }
  operations.Finish();
  RC_ASSERT(operations.Inversions() == 0U);
}

// The same with a queue of 5 entries, which evicts requests. Inversions are not checked: they are
// only ruled out if the queue can hold the arrivals of 100 ms.
RC_GTEST_PROP(AdmissionControllerProperty,
              EveryRequestEndsOnceWithAFullQueue,
              (std::uint32_t seed)) {
  RandomOperations operations(seed, 5);
  for (int i = 0; i < 2000; ++i) {
    operations.Step();
  }
  operations.Finish();
}

// Guards against inner calls that are refused as early as new requests, which would waste the work
// already done for the request in progress.
TEST_F(AdmissionControllerTest, RequestWaitBoundOverridesTheSettings) {
  RecordedRequest& running = this->Offer(5);
  ASSERT_EQ(running.admitted, 1);
  RecordedRequest& ordinary = this->Offer(5, seconds(5));
  RecordedRequest& long_wait = this->Make(5, seconds(5));
  long_wait.wait_bound = milliseconds(400);
  this->controller.Offer(long_wait);
  this->clock.Advance(milliseconds(150));
  EXPECT_EQ(ordinary.refused, 1);
  EXPECT_EQ(long_wait.refused, 0);
  this->clock.Advance(milliseconds(300));
  EXPECT_EQ(long_wait.refused, 1);
  EXPECT_EQ(long_wait.refusal, ErrorKind::kOverloaded);
}

}  // namespace
}  // namespace masticpin
