#include "masticpin/trace/span_store.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <thread>

namespace masticpin {
namespace {

using std::chrono::milliseconds;

Span MakeSpan(int number, Duration length = milliseconds(1)) {
  Span span;
  span.SetName("ballot/vote");
  span.context.trace_id[0] = 0xAB;
  span.context.span_id[7] = static_cast<std::uint8_t>(number);
  span.start = TimePoint(milliseconds(number));
  span.end = span.start + length;
  span.wall_start = std::chrono::system_clock::time_point(milliseconds(number));
  span.decision = SpanDecision::kAdmitted;
  span.attempt = 1;
  return span;
}

std::vector<int> Numbers(const SpanStore& store) {
  std::vector<int> numbers;
  for (const Span& span : store.Snapshot()) {
    numbers.push_back(span.context.span_id[7]);
  }
  return numbers;
}

// Guards against unbounded memory, and against ordinary traffic that overwrites the few refused,
// failed and slow spans that explain an overload.
TEST(SpanStoreTest, KeepsNotableSpansLonger) {
  SpanStore store(
      {.ordinary_capacity = 3, .notable_capacity = 3, .slow_threshold = milliseconds(500)});
  Span refused = MakeSpan(1);
  refused.decision = SpanDecision::kRefused;
  store.Add(refused);
  Span failed = MakeSpan(2);
  failed.error = ErrorKind::kPeerLost;
  store.Add(failed);
  store.Add(MakeSpan(3, milliseconds(500)));
  for (int i = 10; i < 20; ++i) {
    store.Add(MakeSpan(i));
  }
  EXPECT_EQ(Numbers(store), (std::vector<int>{1, 2, 3, 17, 18, 19}));
  EXPECT_EQ(store.Overwritten(), 7U);
  store.Add(MakeSpan(30, milliseconds(501)));
  EXPECT_EQ(Numbers(store), (std::vector<int>{2, 3, 17, 18, 19, 30}));
}

// Guards against an export that an OTLP receiver rejects: ids must be hexadecimal, times must be
// strings, and a root span must have no parent.
TEST(SpanStoreTest, ExportsOtlpJson) {
  SpanStore store({});
  Span span = MakeSpan(5, milliseconds(2));
  span.parent_span_id[0] = 0x01;
  span.error = ErrorKind::kOverloaded;
  span.AddAttribute("peer", "ballot-2");
  store.Add(span);
  store.Add(MakeSpan(6));
  const auto request = nlohmann::json::parse(store.ExportOtlpJson("ballot", "ballot-1"));
  const auto& resource_spans = request["resourceSpans"][0];
  EXPECT_EQ(resource_spans["resource"]["attributes"][1]["value"]["stringValue"], "ballot-1");
  const auto& spans = resource_spans["scopeSpans"][0]["spans"];
  ASSERT_EQ(spans.size(), 2U);
  EXPECT_EQ(spans[0]["traceId"], "ab000000000000000000000000000000");
  EXPECT_EQ(spans[0]["spanId"], "0000000000000005");
  EXPECT_EQ(spans[0]["parentSpanId"], "0100000000000000");
  EXPECT_EQ(spans[0]["name"], "ballot/vote");
  EXPECT_EQ(spans[0]["startTimeUnixNano"], "5000000");
  EXPECT_EQ(spans[0]["endTimeUnixNano"], "7000000");
  EXPECT_EQ(spans[0]["status"]["code"], 2);
  const auto& attributes = spans[0]["attributes"];
  EXPECT_EQ(attributes[0]["value"]["stringValue"], "admitted");
  EXPECT_EQ(attributes[1]["value"]["intValue"], "1");
  EXPECT_EQ(attributes[2]["value"]["stringValue"], "overloaded");
  EXPECT_EQ(attributes[3]["key"], "peer");
  EXPECT_EQ(attributes[3]["value"]["stringValue"], "ballot-2");
  EXPECT_EQ(spans[1]["status"]["code"], 1);
  EXPECT_FALSE(spans[1].contains("parentSpanId"));
}

// Guards against a crash on names and values that do not fit or are truncated inside a character.
TEST(SpanStoreTest, TruncatesLongTexts) {
  SpanStore store({});
  Span span = MakeSpan(1);
  span.SetName("x" + std::string(100, 'y') + "\xC4\x81" + std::string(100, 'z'));
  for (std::size_t i = 0; i <= Span::kMaxAttributes; ++i) {
    span.AddAttribute("key", std::string(Span::kMaxValueLength - 1, 'v') + "\xC4\x81");
  }
  store.Add(span);
  EXPECT_EQ(span.name.size(), Span::kMaxNameLength);
  EXPECT_EQ(span.attributes.size(), Span::kMaxAttributes);
  EXPECT_TRUE(nlohmann::json::accept(store.ExportOtlpJson("s", "i")));
}

// Guards against a data race between the request threads and the export.
TEST(SpanStoreTest, AddsFromSeveralThreads) {
  SpanStore store(
      {.ordinary_capacity = 50, .notable_capacity = 50, .slow_threshold = milliseconds(500)});
  std::vector<std::thread> threads;
  for (int thread = 0; thread < 4; ++thread) {
    threads.emplace_back([&] {
      for (int i = 0; i < 1000; ++i) {
        store.Add(MakeSpan(i % 100));
      }
    });
  }
  for (int i = 0; i < 20; ++i) {
    EXPECT_LE(store.Snapshot().size(), 50U);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  EXPECT_EQ(store.Overwritten(), 3950U);
}

}  // namespace
}  // namespace masticpin
