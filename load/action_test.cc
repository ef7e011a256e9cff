#include "load/action.h"

#include <gtest/gtest.h>

namespace masticpin::load {
namespace {

TryResult MakeTryResult(int status,
                        std::string outcome,
                        std::string error = "",
                        std::string key = "") {
  return {.has_response = true,
          .not_sent = false,
          .status = status,
          .outcome = std::move(outcome),
          .error = std::move(error),
          .key = std::move(key),
          .is_matching_response = true};
}

TEST(ActionTest, RequestsKeyWithoutUsingRetry) {
  Action action("/ballot/vote/1", "", 0);
  EXPECT_EQ(action.OnTryResult(MakeTryResult(428, "not-run", "key_required", "k1")),
            Action::Next::kRetryNow);
  EXPECT_EQ(action.Key(), "k1");
  EXPECT_EQ(action.OnTryResult(MakeTryResult(200, "complete")), Action::Next::kEnd);
  EXPECT_EQ(action.LastOutcome(), Outcome::kComplete);
}

// Guards against endless key requests to a node that rejects all keys with status 428.
TEST(ActionTest, StopsRequestingKeys) {
  Action action("/ballot/vote/1", "", 0);
  int tries = 1;
  while (action.OnTryResult(MakeTryResult(428, "not-run", "key_required", std::to_string(tries))) !=
         Action::Next::kEnd) {
    ASSERT_LT(++tries, 100);
  }
  EXPECT_EQ(action.LastOutcome(), Outcome::kNotRun);
}

TEST(ActionTest, UsesSuccessorAfterRefusal) {
  Action action("/ballot/vote/1", "k1", 10);
  EXPECT_EQ(action.OnTryResult(MakeTryResult(503, "not-run", "overloaded", "k2")),
            Action::Next::kRetryLater);
  EXPECT_EQ(action.Key(), "k2");
  ASSERT_EQ(action.Keys().size(), 2U);
  EXPECT_EQ(action.Keys()[0].last, Outcome::kNotRun);
}

// Guards against double runs: after an unknown outcome the action may have run, and if the caller
// retries with a new key, the home node cannot detect that.
TEST(ActionTest, KeepsKeyAfterUnknownOutcome) {
  Action action("/ballot/vote/1", "k1", 10);
  EXPECT_EQ(action.OnTryResult(MakeTryResult(504, "unknown", "peer_lost", "k2")),
            Action::Next::kRetryLater);
  EXPECT_EQ(action.Key(), "k1");
  EXPECT_EQ(action.OnTryResult(TryResult()), Action::Next::kRetryLater);
  EXPECT_EQ(action.Key(), "k1");
  EXPECT_EQ(action.LastOutcome(), Outcome::kUnknown);
}

TEST(ActionTest, EndsAfterRetriesAndFinalErrors) {
  Action action("/ballot/vote/1", "k1", 2);
  EXPECT_EQ(action.OnTryResult(TryResult()), Action::Next::kRetryLater);
  EXPECT_EQ(action.OnTryResult(TryResult()), Action::Next::kRetryLater);
  EXPECT_EQ(action.OnTryResult(TryResult()), Action::Next::kEnd);
  Action exhausted("/ballot/vote/1", "k1", 2);
  EXPECT_EQ(exhausted.OnTryResult(MakeTryResult(429, "not-run", "attempts_exhausted")),
            Action::Next::kEnd);
  Action lost("/ballot/vote/1", "k1", 2);
  EXPECT_EQ(lost.OnTryResult(MakeTryResult(409, "unknown", "outcome_lost")), Action::Next::kEnd);
}

TEST(ActionTest, TakesNewKeyFromAnotherNodeAfterDrain) {
  Action action("/ballot/vote/1", "k1", 2);
  EXPECT_EQ(action.OnTryResult(MakeTryResult(503, "not-run", "draining")),
            Action::Next::kRetryLater);
  EXPECT_EQ(action.Key(), "");
  EXPECT_EQ(action.OnTryResult(MakeTryResult(428, "not-run", "key_required", "k2")),
            Action::Next::kRetryNow);
  EXPECT_EQ(action.Key(), "k2");
}

TEST(ActionTest, ReportsResponseOfAnotherRequest) {
  Action action("/ballot/vote/1", "k1", 2);
  TryResult try_result = MakeTryResult(200, "complete");
  try_result.is_matching_response = false;
  action.OnTryResult(try_result);
  EXPECT_TRUE(action.WrongResponse());
  Action already("/ballot/vote/1", "k1", 2);
  try_result.status = 409;
  already.OnTryResult(try_result);
  EXPECT_FALSE(already.WrongResponse());
}

TEST(IsMatchingResponseTest, ComparesPathKeyAndLength) {
  const std::string body = R"({"action":"k1","path":"/a/b/1","bytes":3,"data":"xxx"})";
  EXPECT_TRUE(IsMatchingResponse(body, "/a/b/1", "k1"));
  EXPECT_TRUE(IsMatchingResponse(body, "/a/b/1", ""));
  EXPECT_FALSE(IsMatchingResponse(body, "/a/b/2", "k1"));
  EXPECT_FALSE(IsMatchingResponse(body, "/a/b/1", "k2"));
  EXPECT_FALSE(IsMatchingResponse(body.substr(0, 40), "/a/b/1", "k1"));
  EXPECT_FALSE(IsMatchingResponse(R"({"action":"k1","path":"/a/b/1","bytes":4,"data":"xxx"})",
                                  "/a/b/1", "k1"));
}

}  // namespace
}  // namespace masticpin::load
