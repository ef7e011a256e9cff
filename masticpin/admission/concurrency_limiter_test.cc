#include "masticpin/admission/concurrency_limiter.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

namespace masticpin {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kCeiling = 40;

class ConcurrencyLimiterTest : public testing::Test {
 protected:
  /// Records `count` requests that use the whole limit. `latency(limit)` returns the service time.
  template <typename Latency>
  void Serve(int count, Latency latency) {
    for (int i = 0; i < count; ++i) {
      const Duration time = latency(this->limiter.Limit());
      this->now += time / this->limiter.Limit();
      this->limiter.OnSuccess(this->now, time, this->limiter.Limit());
    }
  }

  static Duration Fast(std::uint32_t) { return milliseconds(20); }

  TimePoint now{std::chrono::seconds(1)};
  ConcurrencyLimiter limiter{LimiterSettings(), kCeiling};
};

// Guards against a restarted node that sends the full number of requests to a cold upstream.
TEST_F(ConcurrencyLimiterTest, StartsAtAQuarter) {
  EXPECT_EQ(this->limiter.Limit(), 10U);
  EXPECT_EQ(ConcurrencyLimiter(LimiterSettings(), 1).Limit(), 1U);
  this->Serve(10000, Fast);
  EXPECT_EQ(this->limiter.Limit(), kCeiling);
  this->limiter.Restart();
  EXPECT_EQ(this->limiter.Limit(), 10U);
}

// Guards against growth by more than one per round trip before the reference is known.
TEST_F(ConcurrencyLimiterTest, GrowsByOnePerRoundTrip) {
  this->Serve(10, Fast);
  EXPECT_LE(this->limiter.Limit(), 11U);
  this->Serve(11, Fast);
  EXPECT_GE(this->limiter.Limit(), 11U);
  EXPECT_LE(this->limiter.Limit(), 12U);
}

// Guards against slots that stay unused for more than a minute after a start: at 600 ms for each
// request, growth by one per round trip took 128 round trips to reach 170.
TEST_F(ConcurrencyLimiterTest, ReachesALargeCeilingWithinTwelveRoundTrips) {
  ConcurrencyLimiter large(LimiterSettings(), 170);
  const TimePoint end = this->now + 12 * milliseconds(600);
  while (this->now < end) {
    this->now += Duration(milliseconds(600)) / large.Limit();
    large.OnSuccess(this->now, milliseconds(600), large.Limit());
  }
  EXPECT_EQ(large.Limit(), 170U);
}

// Guards against a limit that grows although it is not fully used.
TEST_F(ConcurrencyLimiterTest, StaysWhileItIsNotUsed) {
  for (int i = 0; i < 1000; ++i) {
    this->now += milliseconds(2);
    this->limiter.OnSuccess(this->now, milliseconds(20), 9);
  }
  EXPECT_EQ(this->limiter.Limit(), 10U);
}

// Guards against several decreases for a single moment of overload.
TEST_F(ConcurrencyLimiterTest, DecreasesOncePerRoundTripWhenTheUpstreamSheds) {
  this->Serve(10000, Fast);
  for (int i = 0; i < 20; ++i) {
    this->limiter.OnShed(this->now);
  }
  EXPECT_EQ(this->limiter.Limit(), 36U);
  for (int i = 0; i < 200; ++i) {
    this->now += milliseconds(20);
    this->limiter.OnShed(this->now);
  }
  EXPECT_EQ(this->limiter.Limit(), 1U);
  this->Serve(10000, Fast);
  EXPECT_EQ(this->limiter.Limit(), kCeiling);
}

// Guards against a queue inside the upstream: with 10 real slots, a limit of 20 doubles the
// latency. Also guards against a reference latency that drifts upwards over many windows.
TEST_F(ConcurrencyLimiterTest, StaysNearTheSlotsOfAnUpstreamWithFewerSlots) {
  const auto queueing = [](std::uint32_t limit) {
    return limit <= 10 ? Duration(milliseconds(20)) : milliseconds(20) * limit / 10;
  };
  this->Serve(5000, queueing);
  double sum = 0;
  for (int i = 0; i < 500; ++i) {
    this->Serve(100, queueing);
    EXPECT_LE(this->limiter.Limit(), 30U);
    sum += this->limiter.Limit();
  }
  EXPECT_GE(sum / 500, 10.0);
  EXPECT_LE(sum / 500, 22.0);
}

// Guards against a limit that falls to 1 because the upstream is slow at any concurrency.
TEST_F(ConcurrencyLimiterTest, IsRestoredWhenTheUpstreamIsSlowAtAnyConcurrency) {
  this->Serve(10000, Fast);
  std::uint32_t lowest = kCeiling;
  for (int i = 0; i < 2000; ++i) {
    this->Serve(1, [](std::uint32_t) { return milliseconds(100); });
    lowest = std::min(lowest, this->limiter.Limit());
  }
  EXPECT_LT(lowest, kCeiling);
  EXPECT_GE(lowest, kCeiling / 2 - 2);
  EXPECT_EQ(this->limiter.Limit(), kCeiling);
}

// Guards against a limit outside the range from 1 to the ceiling, for any sequence of events.
RC_GTEST_PROP(ConcurrencyLimiterProperty, StaysBetweenOneAndTheCeiling, ()) {
  auto ceiling = *rc::gen::inRange<std::uint32_t>(1, 100);
  ConcurrencyLimiter limiter(LimiterSettings(), ceiling);
  TimePoint now{std::chrono::seconds(1)};
  // Only the seed is generated, not each value, because rounds need thousands of latencies.
  std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
  const auto below = [&](std::uint32_t bound) {
    return static_cast<std::uint32_t>(random() % bound);
  };
  Duration usual = milliseconds(20);
  for (int i = 0; i < 5000; ++i) {
    now += std::chrono::microseconds(below(5000));
    const std::uint32_t step = below(1000);
    if (step < 950) {
      limiter.OnSuccess(now, usual * below(100) / 50, below(2 * ceiling));
    } else if (step < 990) {
      limiter.OnShed(now);
    } else if (step < 995) {
      ceiling = 1 + below(100);
      limiter.SetCeiling(ceiling);
    } else if (step < 999) {
      usual = milliseconds(below(200));
    } else {
      limiter.Restart();
    }
    RC_ASSERT(limiter.Limit() >= 1U);
    RC_ASSERT(limiter.Limit() <= ceiling);
  }
}

LimiterSettings PublishedSlots() {
  LimiterSettings settings;
  settings.initial_share = 1;
  settings.use_latency = false;
  return settings;
}

// Guards against published slots that stay unused after a start, or after the registry has
// published their number.
TEST(PublishedSlotsTest, LimitStartsAtTheCeilingAndFollowsIt) {
  ConcurrencyLimiter limiter(PublishedSlots(), 15);
  EXPECT_EQ(limiter.Limit(), 15U);
  limiter.SetCeiling(68);
  EXPECT_EQ(limiter.Limit(), 68U);
  limiter.SetCeiling(12);
  EXPECT_EQ(limiter.Limit(), 12U);
  limiter.SetCeiling(12);
  limiter.Restart();
  EXPECT_EQ(limiter.Limit(), 12U);
}

// Guards against a service whose limit falls because a service that it calls is slow.
TEST(PublishedSlotsTest, ResponseTimesDoNotLowerTheLimit) {
  ConcurrencyLimiter limiter(PublishedSlots(), 40);
  TimePoint now{std::chrono::seconds(1)};
  for (int i = 0; i < 5000; ++i) {
    now += milliseconds(1);
    limiter.OnSuccess(now, i < 1000 ? milliseconds(20) : milliseconds(2000), 40);
  }
  EXPECT_EQ(limiter.Limit(), 40U);
}

// Guards against a limit that stays at the published ceiling although the upstream sheds requests.
TEST(PublishedSlotsTest, RefusalsLowerTheLimitAndItRecovers) {
  ConcurrencyLimiter limiter(PublishedSlots(), 40);
  TimePoint now{std::chrono::seconds(1)};
  limiter.OnShed(now);
  const std::uint32_t lowered = limiter.Limit();
  EXPECT_LT(lowered, 40U);
  // A higher ceiling does not undo the decrease.
  limiter.SetCeiling(60);
  EXPECT_EQ(limiter.Limit(), lowered);
  for (int i = 0; i < 2000; ++i) {
    now += milliseconds(1);
    limiter.OnSuccess(now, milliseconds(20), limiter.Limit());
  }
  EXPECT_EQ(limiter.Limit(), 60U);
}

}  // namespace
}  // namespace masticpin
