#include "masticpin/metrics/latency_histogram.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>

namespace masticpin {
namespace {

using std::chrono::microseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

// Guards against durations outside of the buckets that are lost or for which the logarithm fails.
TEST(LatencyHistogramTest, CountsDurationsOutsideOfTheBounds) {
  LatencyHistogram histogram;
  EXPECT_EQ(histogram.Quantile(0.5), Duration::zero());
  histogram.Record(Duration::zero());
  histogram.Record(seconds(-1));
  histogram.Record(seconds(1000));
  const auto buckets = histogram.Read();
  EXPECT_EQ(buckets.front().upper, microseconds(10));
  EXPECT_EQ(buckets.front().count, 2U);
  EXPECT_EQ(buckets.back().upper, Duration::max());
  EXPECT_EQ(buckets.back().count, 1U);
  EXPECT_EQ(histogram.Sum(), seconds(1000));
  EXPECT_EQ(histogram.Quantile(0.5), microseconds(10));
  EXPECT_NEAR(std::chrono::duration<double>(histogram.Quantile(1.0)).count(), 60.0, 1e-6);
}

// Guards against quantiles that differ from the exact value, found by sorting all durations, by
// more than the width of a bucket.
RC_GTEST_PROP(LatencyHistogramProperty, QuantileIsWithinOneBucket, ()) {
  const auto durations = *rc::gen::nonEmpty(rc::gen::container<std::vector<std::int64_t>>(
      rc::gen::map(rc::gen::inRange(4'000, 10'700),
                   // 10 us (10^4 ns) to 50 s, uniform on a logarithmic scale.
                   [](int exponent) { return std::llround(std::pow(10.0, exponent / 1000.0)); })));
  LatencyHistogram histogram;
  for (const std::int64_t duration : durations) {
    histogram.Record(nanoseconds(duration));
  }
  std::vector<std::int64_t> sorted = durations;
  std::sort(sorted.begin(), sorted.end());
  for (const double q : {0.0, 0.5, 0.99, 1.0}) {
    const auto rank = std::max(1.0, std::ceil(q * static_cast<double>(sorted.size())));
    const auto exact = static_cast<double>(sorted[static_cast<std::size_t>(rank) - 1]);
    const auto estimate = static_cast<double>(histogram.Quantile(q).count());
    RC_ASSERT(estimate >= exact / 1.26);
    RC_ASSERT(estimate <= exact * 1.26);
  }
}

}  // namespace
}  // namespace masticpin
