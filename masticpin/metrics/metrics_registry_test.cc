#include "masticpin/metrics/metrics_registry.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <thread>

namespace masticpin {
namespace {

using testing::HasSubstr;
using testing::Not;

// Guards against output that a Prometheus server rejects or assigns to another series.
TEST(MetricsRegistryTest, WritesTextFormat) {
  MetricsRegistry registry;
  registry.GetCounter("refused_total", "Refused \\ requests.", {{"kind", "a\"b\\c\nd"}})
      .Increment(3);
  registry.GetCounter("refused_total", "", {{"kind", "x"}, {"zone", "z"}}).Increment();
  registry.GetGauge("in_flight", "Requests in progress.").Set(-2);
  EXPECT_EQ(registry.WriteText(),
            "# HELP in_flight Requests in progress.\n"
            "# TYPE in_flight gauge\n"
            "in_flight -2\n"
            "# HELP refused_total Refused \\\\ requests.\n"
            "# TYPE refused_total counter\n"
            "refused_total{kind=\"a\\\"b\\\\c\\nd\"} 3\n"
            "refused_total{kind=\"x\",zone=\"z\"} 1\n");
}

// Guards against buckets that are not cumulative or contradict the count.
TEST(MetricsRegistryTest, WritesHistograms) {
  MetricsRegistry registry;
  LatencyHistogram& histogram = registry.GetHistogram("wait_seconds", "Wait.", {{"k", "v"}});
  histogram.Record(std::chrono::microseconds(1));
  histogram.Record(std::chrono::milliseconds(500));
  histogram.Record(std::chrono::seconds(100));
  const std::string text = registry.WriteText();
  EXPECT_THAT(text, HasSubstr("# TYPE wait_seconds histogram\n"
                              "wait_seconds_bucket{k=\"v\",le=\"1e-05\"} 1\n"));
  EXPECT_THAT(text, HasSubstr("wait_seconds_bucket{k=\"v\",le=\"+Inf\"} 3\n"
                              "wait_seconds_sum{k=\"v\"} 100.500001\n"
                              "wait_seconds_count{k=\"v\"} 3\n"));
}

// Guards against a returned reference that no longer belongs to the series in the output.
TEST(MetricsRegistryTest, ReferencesStayValid) {
  MetricsRegistry registry;
  Counter& first = registry.GetCounter("c_total", "", {{"n", "0"}});
  for (int i = 1; i < 500; ++i) {
    registry.GetCounter("c_total", "", {{"n", std::to_string(i)}});
  }
  first.Increment();
  EXPECT_EQ(&registry.GetCounter("c_total", "", {{"n", "0"}}), &first);
  EXPECT_THAT(registry.WriteText(), HasSubstr("c_total{n=\"0\"} 1\n"));
}

// Guards against memory that grows without bound with the number of values of a label.
TEST(MetricsRegistryTest, BoundsTheSeriesOfOneMetric) {
  MetricsRegistry registry;
  for (std::size_t i = 0; i < MetricsRegistry::kMaxSeries + 5; ++i) {
    registry.GetCounter("c_total", "", {{"n", std::to_string(i)}}).Increment();
  }
  const std::string text = registry.WriteText();
  EXPECT_THAT(text, HasSubstr("c_total{overflow=\"true\"} 5\n"));
  EXPECT_THAT(text, Not(HasSubstr("n=\"1000\"")));
}

// Guards against lost increments when several threads use the same series while the text is
// written.
TEST(MetricsRegistryTest, CountsFromSeveralThreads) {
  MetricsRegistry registry;
  Counter& counter = registry.GetCounter("c_total", "");
  LatencyHistogram& histogram = registry.GetHistogram("h_seconds", "");
  std::vector<std::thread> threads;
  for (int thread = 0; thread < 4; ++thread) {
    threads.emplace_back([&] {
      for (int i = 0; i < 10'000; ++i) {
        counter.Increment();
        histogram.Record(std::chrono::milliseconds(1));
      }
    });
  }
  for (int i = 0; i < 20; ++i) {
    registry.WriteText();
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  EXPECT_THAT(registry.WriteText(), HasSubstr("c_total 40000\n"));
  EXPECT_THAT(registry.WriteText(), HasSubstr("h_seconds_count 40000\n"));
  EXPECT_EQ(histogram.Sum(), std::chrono::seconds(40));
}

}  // namespace
}  // namespace masticpin
