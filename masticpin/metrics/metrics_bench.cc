#include <benchmark/benchmark.h>

#include "masticpin/metrics/metrics_registry.h"
#include "masticpin/trace/span_store.h"

namespace masticpin {
namespace {

// The latency that a node adds to a call may be at most 0.38 ms in total, so recording one value
// must take well below 1 us.
void HistogramRecord(benchmark::State& state) {
  static MetricsRegistry registry;
  LatencyHistogram& histogram = registry.GetHistogram("h_seconds", "");
  for (auto _ : state) {
    histogram.Record(std::chrono::microseconds(380));
  }
}
BENCHMARK(HistogramRecord)->Threads(1)->Threads(4);

void CounterIncrement(benchmark::State& state) {
  static Counter counter;
  for (auto _ : state) {
    counter.Increment();
  }
}
BENCHMARK(CounterIncrement)->Threads(1)->Threads(4);

void SpanStoreAdd(benchmark::State& state) {
  static SpanStore store{SpanStoreSettings()};
  Span span;
  span.SetName("ballot/vote");
  for (auto _ : state) {
    store.Add(span);
  }
}
BENCHMARK(SpanStoreAdd)->Threads(1)->Threads(4);

}  // namespace
}  // namespace masticpin
