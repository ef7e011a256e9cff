#include "masticpin/admission/recent_maximum.h"

#include <gtest/gtest.h>

#include "masticpin/testing/fake_clock.h"

namespace masticpin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against an estimate that forgets the longest run because shorter ones came after it.
TEST(RecentMaximumTest, LongestDurationCountsForHalfOfTheWindowAtLeast) {
  FakeClock clock;
  RecentMaximum maximum(clock, seconds(30));
  EXPECT_EQ(maximum.Get(), std::nullopt);
  maximum.Add(milliseconds(900));
  for (int second = 0; second < 14; ++second) {
    clock.Advance(seconds(1));
    maximum.Add(milliseconds(20));
    EXPECT_EQ(maximum.Get(), milliseconds(900)) << second;
  }
}

// Guards against an estimate that keeps the time of a slow phase for good.
TEST(RecentMaximumTest, OldDurationsAreForgotten) {
  FakeClock clock;
  RecentMaximum maximum(clock, seconds(30));
  maximum.Add(seconds(9));
  clock.Advance(seconds(20));
  maximum.Add(milliseconds(20));
  EXPECT_EQ(maximum.Get(), seconds(9));
  clock.Advance(seconds(20));
  EXPECT_EQ(maximum.Get(), milliseconds(20));
  clock.Advance(seconds(60));
  EXPECT_EQ(maximum.Get(), std::nullopt);
}

}  // namespace
}  // namespace masticpin
