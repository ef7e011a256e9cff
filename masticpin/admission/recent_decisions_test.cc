#include "masticpin/admission/recent_decisions.h"

#include <gtest/gtest.h>

namespace masticpin {
namespace {

using std::chrono::milliseconds;

constexpr Duration kWindow = milliseconds(100);
constexpr TimePoint kStart{std::chrono::seconds(1)};

// Guards against a threshold that persists after the overload, and against one that is dropped
// while senders still need it.
TEST(RecentDecisionsTest, ThresholdIsTheLowestAdmittedOfOneToTwoWindows) {
  RecentDecisions recent(kWindow);
  recent.OnAdmitted(kStart, 7);
  recent.OnAdmitted(kStart, 5);
  EXPECT_EQ(recent.Threshold(kStart), 0U);
  recent.OnRefused(kStart);
  EXPECT_EQ(recent.Threshold(kStart), 5U);
  recent.OnAdmitted(kStart + kWindow, 9);
  EXPECT_EQ(recent.Threshold(kStart + kWindow + milliseconds(99)), 5U);
  // The refusal and the lower admission are now two windows old.
  recent.OnAdmitted(kStart + 2 * kWindow, 9);
  EXPECT_EQ(recent.Threshold(kStart + 2 * kWindow), 0U);
  recent.OnRefused(kStart + 2 * kWindow);
  EXPECT_EQ(recent.Threshold(kStart + 2 * kWindow), 9U);
  EXPECT_EQ(recent.Threshold(kStart + 4 * kWindow), 0U);
}

// Guards against retry-after values that do not follow the load.
TEST(RecentDecisionsTest, RefusalRatioIsRefusalsPerAdmission) {
  RecentDecisions recent(kWindow);
  EXPECT_EQ(recent.RefusalRatio(kStart), 0.0);
  recent.OnRefused(kStart);
  EXPECT_EQ(recent.RefusalRatio(kStart), 1.0);
  recent.OnAdmitted(kStart, 1);
  recent.OnAdmitted(kStart, 1);
  for (int i = 0; i < 5; ++i) {
    recent.OnRefused(kStart + kWindow);
  }
  EXPECT_EQ(recent.RefusalRatio(kStart + kWindow), 3.0);
  EXPECT_EQ(recent.RefusalRatio(kStart + 3 * kWindow), 0.0);
}

}  // namespace
}  // namespace masticpin
