#include "masticpin/attempts/expected_time.h"

#include <gtest/gtest.h>

namespace masticpin {
namespace {

using std::chrono::milliseconds;

// Guards against an estimate that does not follow when a service runs at one fifth of its speed:
// each inner call then got too little time and was cancelled halfway.
TEST(ExpectedTimeTest, FollowsASlowerServiceWithinTwentyRequests) {
  ExpectedTime time;
  for (int i = 0; i < 100; ++i) {
    time.Add(milliseconds(100));
  }
  EXPECT_LE(time.Estimate(), milliseconds(110));
  for (int i = 0; i < 20; ++i) {
    time.Add(milliseconds(500));
  }
  EXPECT_GE(time.Estimate(), milliseconds(500));
}

// Guards against an estimate that stays high after a slow period.
TEST(ExpectedTimeTest, FallsAgainAfterASlowTime) {
  ExpectedTime time;
  for (int i = 0; i < 50; ++i) {
    time.Add(milliseconds(500));
  }
  for (int i = 0; i < 50; ++i) {
    time.Add(milliseconds(100));
  }
  EXPECT_LE(time.Estimate(), milliseconds(120));
}

}  // namespace
}  // namespace masticpin
