#include "masticpin/base/received_duration.h"

#include <gtest/gtest.h>

#include <limits>

namespace masticpin {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// Guards against received numbers that overflow a Duration and become negative or short.
TEST(ReceivedDurationTest, LargeNumbersAreClamped) {
  EXPECT_EQ(ReceivedDuration<milliseconds>(0), Duration::zero());
  EXPECT_EQ(ReceivedDuration<milliseconds>(1500), milliseconds(1500));
  EXPECT_EQ(ReceivedDuration<microseconds>(1500), microseconds(1500));
  for (int bit = 40; bit < 64; ++bit) {
    const std::uint64_t count = std::uint64_t{1} << bit;
    EXPECT_EQ(ReceivedDuration<milliseconds>(count), kMaxReceivedDuration) << bit;
    EXPECT_EQ(ReceivedDuration<microseconds>(count), kMaxReceivedDuration) << bit;
  }
  EXPECT_EQ(ReceivedDuration<microseconds>(std::numeric_limits<std::uint64_t>::max()),
            kMaxReceivedDuration);
}

}  // namespace
}  // namespace masticpin
