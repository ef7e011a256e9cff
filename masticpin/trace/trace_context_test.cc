#include "masticpin/trace/trace_context.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "masticpin/testing/seeded_random.h"

namespace masticpin {
namespace {

constexpr char kExample[] = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

// Guards against a header that other tracing systems would assign to a different trace.
TEST(TraceContextTest, ParsesTheExampleOfTheSpecification) {
  const auto context = TraceContext::Parse(kExample);
  ASSERT_TRUE(context.has_value());
  EXPECT_EQ(ToHex(context->trace_id), "0af7651916cd43dd8448eb211c80319c");
  EXPECT_EQ(ToHex(context->span_id), "b7ad6b7169203331");
  EXPECT_TRUE(context->sampled);
  EXPECT_EQ(context->Format(), kExample);
}

// Guards against joining a trace because of a header that has to be ignored according to the
// specification.
TEST(TraceContextTest, RejectsWhatTheSpecificationForbids) {
  const std::string valid = kExample;
  for (const std::string& header : {
           std::string(),
           valid.substr(0, 54),
           valid + "-00",
           valid + "0",
           "ff" + valid.substr(2),
           "0g" + valid.substr(2),
           "01" + valid.substr(2) + "00",
           std::string("00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"),
           std::string("00-00000000000000000000000000000000-b7ad6b7169203331-01"),
           std::string("00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01"),
           std::string("00_0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"),
       }) {
    EXPECT_FALSE(TraceContext::Parse(header).has_value()) << header;
  }
}

// Guards against losing the trace of a caller that uses a later version or other flags.
TEST(TraceContextTest, ReadsKnownFieldsOfLaterVersions) {
  const auto context = TraceContext::Parse("01" + std::string(kExample).substr(2) + "-more");
  ASSERT_TRUE(context.has_value());
  EXPECT_EQ(context->Format(), kExample);
  EXPECT_FALSE(
      TraceContext::Parse("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-02")->sampled);
}

// Guards against a context that changes when it is formatted and parsed again, and against a child
// context with another trace id or with the span id of its parent.
RC_GTEST_PROP(TraceContextProperty, FormatAndParseRoundTrip, (std::uint64_t seed, bool sampled)) {
  SeededRandom random(seed);
  const TraceContext root = TraceContext::MakeRoot(random, sampled);
  RC_ASSERT(root.Format().size() == TraceContext::kFormattedLength);
  RC_ASSERT(TraceContext::Parse(root.Format()) == root);
  const TraceContext child = root.MakeChild(random);
  RC_ASSERT(child.trace_id == root.trace_id);
  RC_ASSERT(child.span_id != root.span_id);
  RC_ASSERT(child.sampled == sampled);
}

// Guards against a crash on an arbitrary header from a caller.
RC_GTEST_PROP(TraceContextProperty, AcceptsAnyBytes, (const std::string& header)) {
  const auto context = TraceContext::Parse(header);
  RC_ASSERT(!context || header.size() >= TraceContext::kFormattedLength);
  std::string edited = kExample;
  edited.replace(*rc::gen::inRange<std::size_t>(0, edited.size()), header.size(), header);
  TraceContext::Parse(edited);
}

}  // namespace
}  // namespace masticpin
