#include "masticpin/routing/threshold_cache.h"

#include <gtest/gtest.h>

#include "masticpin/testing/fake_clock.h"

namespace masticpin {
namespace {

using std::chrono::milliseconds;

// Guards against requests that are sent only to be refused, and against an outdated threshold that
// persists because no request below it is sent any more.
TEST(ThresholdCacheTest, RefusesBelowTheThresholdButOneInSixteen) {
  FakeClock clock;
  ThresholdCache cache(clock);
  const Priority low{2, 0};
  const Priority high{7, 0};
  cache.Update(1, Priority{5, 0}.Packed());
  int sent = 0;
  for (int i = 0; i < 1600; ++i) {
    sent += cache.ShouldSend(1, low) ? 1 : 0;
  }
  EXPECT_EQ(sent, 100);
  EXPECT_TRUE(cache.ShouldSend(1, high));
  EXPECT_TRUE(cache.ShouldSend(2, low));
}

// Guards against outdated thresholds: they expire after 250 ms if they are not renewed.
TEST(ThresholdCacheTest, ThresholdExpires) {
  FakeClock clock;
  ThresholdCache cache(clock);
  cache.Update(1, Priority{5, 0}.Packed());
  clock.Advance(milliseconds(249));
  EXPECT_FALSE(cache.Admits(1, Priority{4, 65535}));
  EXPECT_TRUE(cache.Admits(1, Priority{5, 0}));
  clock.Advance(milliseconds(1));
  EXPECT_TRUE(cache.Admits(1, Priority{4, 65535}));
  cache.Update(1, Priority{5, 0}.Packed());
  cache.Clear();
  EXPECT_TRUE(cache.Admits(1, Priority{}));
}

}  // namespace
}  // namespace masticpin
