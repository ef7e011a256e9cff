#include "masticpin/membership/pause_detector.h"

#include <gtest/gtest.h>

#include <vector>

#include "masticpin/testing/fake_clock.h"

namespace masticpin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class PauseDetectorTest : public testing::Test {
 protected:
  PauseDetectorTest()
      : detector(this->clock, this->clock, [this](Duration late) {
          this->pauses.push_back(late);
        }) {
    this->detector.Start();
  }

  FakeClock clock;
  std::vector<Duration> pauses;
  PauseDetector detector;
};

// Guards against pauses that are missed or reported twice, and against reporting delays that are no
// pause.
TEST_F(PauseDetectorTest, ReportsEachPauseOnce) {
  this->clock.Advance(seconds(10));
  this->clock.Pause(milliseconds(1050));
  EXPECT_TRUE(this->pauses.empty());
  this->clock.Advance(seconds(1));
  this->clock.Pause(seconds(5));
  ASSERT_EQ(this->pauses.size(), 1U);
  EXPECT_EQ(this->pauses[0], milliseconds(4900));
  this->clock.Advance(seconds(10));
  EXPECT_EQ(this->pauses.size(), 1U);
}

// Guards against decisions between the end of a pause and the first timer, which would not take the
// pause into account.
TEST_F(PauseDetectorTest, CheckFindsThePauseBeforeTheTimer) {
  this->clock.Jump(seconds(5));
  EXPECT_TRUE(this->detector.Check());
  EXPECT_FALSE(this->detector.Check());
  this->clock.Pause(Duration::zero());
  EXPECT_EQ(this->pauses.size(), 1U);
}

}  // namespace
}  // namespace masticpin
