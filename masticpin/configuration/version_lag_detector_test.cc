#include "masticpin/configuration/version_lag_detector.h"

#include <gtest/gtest.h>

namespace masticpin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a node that keeps an old configuration for as long as its watch call waits,
// because the answer with the new one was lost.
TEST(VersionLagDetectorTest, ReadsAgainIfPeersStayAhead) {
  VersionLagDetector detector;
  const TimePoint start{seconds(10)};
  detector.OnPeerVersion(5, 4, start);
  EXPECT_FALSE(detector.TryStartRead(4, start + milliseconds(499)));
  detector.OnPeerVersion(6, 4, start + milliseconds(300));
  EXPECT_TRUE(detector.TryStartRead(4, start + milliseconds(500)));
  EXPECT_TRUE(detector.IsBehind(4, start + milliseconds(600)));
  // The registry may not answer; the reads must not become a load on it.
  EXPECT_FALSE(detector.TryStartRead(4, start + milliseconds(2400)));
  EXPECT_TRUE(detector.TryStartRead(4, start + milliseconds(2500)));
}

// Guards against extra reads by the whole fleet at each change: a few milliseconds lie between the
// notifications of two nodes.
TEST(VersionLagDetectorTest, DoesNotReadIfTheVersionArrivesByItself) {
  VersionLagDetector detector;
  const TimePoint start{seconds(10)};
  detector.OnPeerVersion(5, 4, start);
  EXPECT_FALSE(detector.TryStartRead(5, start + seconds(1)));
  // The next change starts a new tolerance.
  detector.OnPeerVersion(5, 5, start + seconds(2));
  detector.OnPeerVersion(7, 5, start + seconds(3));
  EXPECT_FALSE(detector.TryStartRead(5, start + milliseconds(3400)));
  EXPECT_TRUE(detector.TryStartRead(5, start + milliseconds(3500)));
}

// Guards against going back: peers with older versions change nothing.
TEST(VersionLagDetectorTest, OlderVersionsOfPeersAreIgnored) {
  VersionLagDetector detector;
  detector.OnPeerVersion(3, 4, TimePoint{seconds(10)});
  EXPECT_FALSE(detector.IsBehind(4, TimePoint{seconds(20)}));
}

}  // namespace
}  // namespace masticpin
