#include "masticpin/membership/transit_time_estimator.h"

#include <gtest/gtest.h>

namespace masticpin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class TransitTimeEstimatorTest : public testing::Test {
 protected:
  /// Sends a message at `sent` of the receiver's clock, which arrives after `transit`.
  std::optional<Duration> Deliver(Duration sent, Duration transit) {
    return this->estimator.OnMessage(sent + this->sender_offset, TimePoint(sent + transit));
  }

  TransitTimeEstimator estimator;
  /// The sender's clock minus the receiver's.
  Duration sender_offset = seconds(-7000);
};

// Guards against an estimate that needs synchronized clocks.
TEST_F(TransitTimeEstimatorTest, DelayIsMeasuredBetweenUnsynchronizedClocks) {
  this->Deliver(seconds(10), milliseconds(1));
  EXPECT_LE(this->Deliver(milliseconds(10500), milliseconds(2)), milliseconds(2));
  const std::optional<Duration> late = this->Deliver(seconds(11), milliseconds(1500));
  ASSERT_TRUE(late);
  EXPECT_GE(*late, milliseconds(1490));
  EXPECT_LE(*late, milliseconds(1500));
}

// Guards against taking the first message for a timely one although it waited for the accept or in
// a link that was cut right after it was opened.
TEST_F(TransitTimeEstimatorTest, TransitTimeOfTheFirstMessageIsUnknown) {
  EXPECT_EQ(this->Deliver(seconds(10), milliseconds(900)), std::nullopt);
  this->estimator.OnReply(TimePoint(milliseconds(10900)), milliseconds(10902) + this->sender_offset,
                          TimePoint(milliseconds(10904)));
  EXPECT_LE(this->Deliver(seconds(11), milliseconds(2)), milliseconds(2));
  EXPECT_GE(this->Deliver(seconds(12), milliseconds(600)), milliseconds(590));
}

// Guards against a session of hours on which every message seems to be late because the clocks
// drift apart by 0.01 %.
TEST_F(TransitTimeEstimatorTest, DriftOfClocksIsNotADelay) {
  Duration sent = seconds(10);
  this->Deliver(sent, milliseconds(1));
  for (int i = 0; i < 3600; ++i) {
    ASSERT_LE(this->Deliver(sent, milliseconds(1)), milliseconds(5)) << i;
    sent += seconds(1);
    this->sender_offset -= std::chrono::microseconds(100);
  }
}

// Guards against a receiver that was suspended without its steady clock running and takes what
// waited meanwhile for new.
TEST_F(TransitTimeEstimatorTest, JumpOfTheReceiversClockMakesTheTransitTimeUnknown) {
  this->Deliver(seconds(10), milliseconds(1));
  this->sender_offset += seconds(3);
  EXPECT_EQ(this->Deliver(seconds(11), milliseconds(1)), std::nullopt);
  EXPECT_LE(this->Deliver(seconds(12), milliseconds(1)), milliseconds(5));
}

// Guards against a sender that was suspended and whose messages seem to be late for ever.
TEST_F(TransitTimeEstimatorTest, FastReplyCorrectsTheDifferenceOfTheClocks) {
  this->Deliver(seconds(10), milliseconds(1));
  this->sender_offset -= seconds(3);
  EXPECT_GE(this->Deliver(seconds(11), milliseconds(1)), milliseconds(2900));
  this->estimator.OnReply(TimePoint(milliseconds(11001)), milliseconds(11002) + this->sender_offset,
                          TimePoint(milliseconds(11003)));
  EXPECT_LE(this->Deliver(seconds(12), milliseconds(1)), milliseconds(5));
}

// Guards against a correction by an exchange that was delayed itself.
TEST_F(TransitTimeEstimatorTest, SlowReplyCorrectsNothing) {
  this->Deliver(seconds(10), milliseconds(1));
  this->estimator.OnReply(TimePoint(seconds(11)), seconds(11) + this->sender_offset,
                          TimePoint(seconds(12)));
  EXPECT_GE(this->Deliver(seconds(13), milliseconds(500)), milliseconds(490));
}

}  // namespace
}  // namespace masticpin
