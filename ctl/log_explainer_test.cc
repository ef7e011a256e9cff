#include "ctl/log_explainer.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <sstream>

namespace masticpin {
namespace {

using testing::HasSubstr;
using testing::Not;

/// Explains `id` from the lines of `log`, which have the format of a recording.
std::string Explain(const std::string& id, const std::string& log) {
  LogExplainer explainer(id);
  for (const bool second_pass : {false, true}) {
    std::istringstream lines(log);
    std::string line;
    while (std::getline(lines, line)) {
      const std::optional<LogLine> parsed = LogLine::Parse(line, "file");
      if (parsed.has_value()) {
        second_pass ? explainer.AddContextLine(*parsed) : explainer.AddRequestLine(*parsed);
      }
    }
    if (!explainer.Found()) {
      return "";
    }
  }
  std::ostringstream out;
  explainer.Write(out);
  return out.str();
}

// Guards against a refusal whose overloaded service cannot be found.
TEST(LogExplainerTest, RefusalAtEntryNamesTheOverloadedNodes) {
  const std::string text = Explain(
      "800de33c4f24fd1e",
      "7.0012 side-b-1 event=node_stopping instance=i-1 service=dues\n"
      "8.0141 side-c-4 event=load limit=12 in_flight=12 queued=20 threshold=0 offered=646 "
      "started=628 refused=0 broken=0\n"
      "8.0150 side-c-5 event=load limit=12 in_flight=3 queued=0 threshold=0 offered=10 started=10 "
      "refused=0 broken=0\n"
      "8.9658 side-c-3 event=request_refused id=800de33c4f24fd1e route=views service=front "
      "instance= error=overloaded status=503 importance=4 rank=4980 inner=false sends=0 version=7 "
      "ms=0 reason=\"call chain is overloaded\"\n"
      "8.9700 side-c-3 event=request_refused id=800de33c4f24fd1f route=views service=front "
      "error=overloaded sends=0\n"
      "30.0000 side-a-1 event=load limit=5 in_flight=5 queued=9 refused=0 broken=0\n");
  EXPECT_THAT(text, HasSubstr("Refused at its entry (call chain is overloaded)"));
  EXPECT_THAT(text, HasSubstr("Lines of the request and its calls (1)"));
  EXPECT_THAT(text, HasSubstr("8.014 side-c-4 event=load limit=12 in_flight=12 queued=20"));
  EXPECT_THAT(text, HasSubstr("7.001 side-b-1 event=node_stopping"));
  EXPECT_THAT(text, Not(HasSubstr("side-c-5")));
  EXPECT_THAT(text, Not(HasSubstr("side-a-1"))) << "load of another time";
}

// Guards against blaming the service that the caller requested for a failure deeper in the call
// chain.
TEST(LogExplainerTest, TimeoutInAChainBeginsWithTheDeepestCall) {
  const std::string text =
      Explain("51",
              "2.5840 side-c-4 event=request_failed id=51 route=r instance=i-9 status=504 "
              "chain_failed=true chain_refused=false ms=799\n"
              "2.5835 side-c-1 event=request_failed id=51.ab route=s instance=i-3 status=504 "
              "chain_failed=true chain_refused=false ms=31\n"
              "2.5829 side-c-3 event=request_failed id=51.ab.33 route=t instance=i-5 status=504 "
              "chain_failed=false chain_refused=false ms=14\n"
              "2.5830 side-c-3 event=request_failed id=512 route=t instance=i-7 status=500\n");
  EXPECT_THAT(text, HasSubstr("It began with the call 51.ab.33."));
  EXPECT_THAT(text, HasSubstr("Instance i-5 answered 504 after 14 ms."));
  EXPECT_THAT(text, HasSubstr("No call that it made had failed"));
  EXPECT_THAT(text, HasSubstr("Lines of the request and its calls (3)"));
}

// Guards against blaming a lost response on the refusal that resulted from it.
TEST(LogExplainerTest, LostResponseNamesTheInstanceThatMayHaveRunIt) {
  const std::string text =
      Explain("92d7",
              "19.0386 side-c-3 event=request_refused id=92d7 route=permit service=permits "
              "instance=i-a1 error=upstream_broken status=502 sends=1 reason=\"refused\"\n"
              "19.0384 side-c-2 event=upstream_call_failed id=92d7 instance=i-a1 "
              "error=upstream_broken reason=\"Connection reset by peer\" ran_us=264372\n"
              "19.5000 side-c-2 event=log_lines_dropped count=12\n");
  EXPECT_THAT(text, HasSubstr("Instance i-a1 had the request for 264.372 ms"));
  EXPECT_THAT(text, HasSubstr("Connection reset by peer"));
  EXPECT_THAT(text, HasSubstr("Outcome: unknown."));
  EXPECT_THAT(text, HasSubstr("dropped 12 lines"));
  EXPECT_THAT(text, Not(HasSubstr("itself failed")));
}

// Guards against the claim that a request may have run on an unreachable instance.
TEST(LogExplainerTest, UnreachableInstanceRanNothing) {
  const std::string text =
      Explain("92d8",
              "19.0384 side-c-2 event=upstream_call_failed id=92d8 instance=i-a1 "
              "error=upstream_unreachable reason=\"Connection refused\" ran_us=0\n");
  EXPECT_THAT(text, HasSubstr("Outcome: not-run."));
  EXPECT_THAT(text, Not(HasSubstr("may have run")));
}

// Guards against reporting a request as failed that succeeded after a retry.
TEST(LogExplainerTest, RetryAloneIsNoFailure) {
  const std::string text = Explain(
      "ec22",
      "13.8850 side-b-1 event=upstream_call_failed id=ec22 instance=i-a error=upstream_broken "
      "reason=\"bad version\" ran_us=314312\n"
      "13.8851 side-b-1 event=request_repeated id=ec22 service=s instance=i-a "
      "error=upstream_broken sends=1 reached=1\n");
  EXPECT_THAT(text, HasSubstr("No line says that ec22 itself failed"));
}

// Guards against failing to parse the log files of nodes, whose lines have a date and no process
// name.
TEST(LogExplainerTest, LinesWithADateAreParsed) {
  const auto line = LogLine::Parse(
      "[2026-12-04 07:52:19.174] [info] event=peer_lost name=b-1 reason=\"no answer = 3 s\" "
      "requests=4",
      "b-2.log");
  ASSERT_TRUE(line.has_value());
  EXPECT_EQ(line->source, "b-2.log");
  EXPECT_EQ(line->time, std::chrono::sys_days(std::chrono::year(2026) / 12 / 4).time_since_epoch() +
                            std::chrono::hours(7) + std::chrono::minutes(52) +
                            std::chrono::milliseconds(19174));
  EXPECT_EQ(line->Field("reason"), "no answer = 3 s");
  EXPECT_EQ(line->Number("requests"), 4);
  const auto sidecar = LogLine::Parse(
      "time=2026-12-04T07:52:19.174Z level=info event=peer_lost name=b-1", "b-2.log");
  ASSERT_TRUE(sidecar.has_value());
  EXPECT_EQ(sidecar->time, line->time);
  EXPECT_EQ(sidecar->source, "b-2.log");
  EXPECT_FALSE(LogLine::Parse("no event", "x").has_value());
  EXPECT_FALSE(LogLine::Parse("[2026-13-45 07:52:19.174] event=x", "x").has_value());
}

// Guards against times that cannot be found in the log files of nodes: for lines with a date, the
// seconds since 1970 were shown.
TEST(LogExplainerTest, DatesKeepTheirFormat) {
  const std::string text = Explain("77",
                                   "time=2026-12-04T07:52:19.174Z level=info event=request_failed "
                                   "id=77 status=500 ms=3\n"
                                   "[2026-12-04 07:52:19.180] [info] event=node_stopping\n");
  EXPECT_THAT(text, HasSubstr("  2026-12-04T07:52:19.174 file event=request_failed"));
  EXPECT_THAT(text, HasSubstr("  2026-12-04 07:52:19.180 file event=node_stopping"));
}

TEST(LogExplainerTest, UnknownRequestIsNotFound) {
  EXPECT_EQ(Explain("7", "1.0 side event=request_failed id=77 status=500\n"), "");
}

}  // namespace
}  // namespace masticpin
