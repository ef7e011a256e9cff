#include "masticpin/metrics/latency_histogram.h"

#include <algorithm>
#include <atomic>
#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <cassert>
#include <cmath>

namespace masticpin {
namespace {

// 10 us is below the duration of the shortest hop over loopback; 60 s is above the maximum deadline
// at both sites.
constexpr double kLowestSeconds = 10e-6;
constexpr double kHighestSeconds = 60.0;
// Ten buckets per decade: each is 26% wide, and a histogram takes 0.6 KB.
constexpr int kInnerBuckets = 68;

using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using Count = boost::histogram::accumulators::count<std::uint64_t, /*ThreadSafe=*/true>;

auto MakeHistogram() {
  return boost::histogram::make_histogram_with(
      boost::histogram::dense_storage<Count>(),
      Axis(static_cast<unsigned>(kInnerBuckets), kLowestSeconds, kHighestSeconds));
}

Duration ToDuration(double seconds) {
  return std::chrono::round<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

struct LatencyHistogram::Data {
  decltype(MakeHistogram()) histogram = MakeHistogram();
  std::atomic<std::int64_t> sum_ns = 0;
};

LatencyHistogram::LatencyHistogram() : data(std::make_unique<Data>()) {}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::Record(Duration duration) {
  const Duration recorded = std::max(duration, Duration::zero());
  this->data->histogram(std::chrono::duration<double>(recorded).count());
  this->data->sum_ns.fetch_add(recorded.count(), std::memory_order_relaxed);
}

std::vector<LatencyHistogram::Bucket> LatencyHistogram::Read() const {
  const auto& axis = this->data->histogram.axis(0);
  std::vector<Bucket> buckets;
  buckets.reserve(kInnerBuckets + 2);
  // Index -1 counts values below the lowest bound, the last index values above the highest.
  for (int i = -1; i < kInnerBuckets; ++i) {
    buckets.push_back({ToDuration(axis.value(i + 1)), this->data->histogram.at(i).value()});
  }
  buckets.push_back({Duration::max(), this->data->histogram.at(kInnerBuckets).value()});
  return buckets;
}

Duration LatencyHistogram::Sum() const {
  return Duration(this->data->sum_ns.load(std::memory_order_relaxed));
}

Duration LatencyHistogram::Quantile(double q) const {
  assert(q >= 0.0 && q <= 1.0);
  const std::vector<Bucket> buckets = this->Read();
  std::uint64_t total = 0;
  for (const Bucket& bucket : buckets) {
    total += bucket.count;
  }
  if (total == 0) {
    return Duration::zero();
  }

  // Find the bucket that contains the rank.
  const double rank = std::max(1.0, std::ceil(q * static_cast<double>(total)));
  double count_below = 0.0;
  std::size_t index = 0;
  while (count_below + static_cast<double>(buckets[index].count) < rank) {
    count_below += static_cast<double>(buckets[index].count);
    ++index;
  }
  if (index == 0) {
    return buckets.front().upper;
  }
  if (index + 1 == buckets.size()) {
    return buckets[index - 1].upper;
  }

  // Interpolate on the logarithmic scale, on which all buckets have the same width.
  const auto lower = static_cast<double>(buckets[index - 1].upper.count());
  const auto upper = static_cast<double>(buckets[index].upper.count());
  const double fraction = (rank - count_below) / static_cast<double>(buckets[index].count);
  return Duration(static_cast<std::int64_t>(lower * std::pow(upper / lower, fraction)));
}

}  // namespace masticpin
