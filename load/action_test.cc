#include "load/action.h"

#include <gtest/gtest.h>

namespace masticpin::load {
namespace {

CallerReply Reply(int status, std::string outcome, std::string error = "", std::string key = "") {
  return {.has_response = true,
          .not_sent = false,
          .status = status,
          .outcome = std::move(outcome),
          .error = std::move(error),
          .key = std::move(key),
          .is_own_response = true};
}

TEST(ActionTest, AsksForKeyWithoutSpendingRetry) {
  Action action("/ballot/vote/1", "", 0);
  EXPECT_EQ(action.OnReply(Reply(428, "not-run", "key_required", "k1")), Action::Next::kRetryNow);
  EXPECT_EQ(action.Key(), "k1");
  EXPECT_EQ(action.OnReply(Reply(200, "complete")), Action::Next::kEnd);
  EXPECT_EQ(action.LastOutcome(), Outcome::kComplete);
}

// A node that answers every key with 428 must not hold a caller forever.
TEST(ActionTest, GivesUpAskingForKeys) {
  Action action("/ballot/vote/1", "", 0);
  int tries = 1;
  while (action.OnReply(Reply(428, "not-run", "key_required", std::to_string(tries))) !=
         Action::Next::kEnd) {
    ASSERT_LT(++tries, 100);
  }
  EXPECT_EQ(action.LastOutcome(), Outcome::kNotRun);
}

TEST(ActionTest, UsesSuccessorAfterRefusal) {
  Action action("/ballot/vote/1", "k1", 10);
  EXPECT_EQ(action.OnReply(Reply(503, "not-run", "overloaded", "k2")), Action::Next::kRetryLater);
  EXPECT_EQ(action.Key(), "k2");
  ASSERT_EQ(action.Keys().size(), 2U);
  EXPECT_EQ(action.Keys()[0].last, Outcome::kNotRun);
}

// With another key the home could not tell that the action has already run.
TEST(ActionTest, KeepsKeyAfterUnknownOutcome) {
  Action action("/ballot/vote/1", "k1", 10);
  EXPECT_EQ(action.OnReply(Reply(504, "unknown", "peer_lost", "k2")), Action::Next::kRetryLater);
  EXPECT_EQ(action.Key(), "k1");
  EXPECT_EQ(action.OnReply(CallerReply()), Action::Next::kRetryLater);
  EXPECT_EQ(action.Key(), "k1");
  EXPECT_EQ(action.LastOutcome(), Outcome::kUnknown);
}

TEST(ActionTest, EndsAfterRetriesAndFinalErrors) {
  Action action("/ballot/vote/1", "k1", 2);
  EXPECT_EQ(action.OnReply(CallerReply()), Action::Next::kRetryLater);
  EXPECT_EQ(action.OnReply(CallerReply()), Action::Next::kRetryLater);
  EXPECT_EQ(action.OnReply(CallerReply()), Action::Next::kEnd);
  Action exhausted("/ballot/vote/1", "k1", 2);
  EXPECT_EQ(exhausted.OnReply(Reply(429, "not-run", "attempts_exhausted")), Action::Next::kEnd);
  Action lost("/ballot/vote/1", "k1", 2);
  EXPECT_EQ(lost.OnReply(Reply(409, "unknown", "outcome_lost")), Action::Next::kEnd);
}

TEST(ActionTest, TakesNewKeyFromAnotherNodeAfterDrain) {
  Action action("/ballot/vote/1", "k1", 2);
  EXPECT_EQ(action.OnReply(Reply(503, "not-run", "draining")), Action::Next::kRetryLater);
  EXPECT_EQ(action.Key(), "");
  EXPECT_EQ(action.OnReply(Reply(428, "not-run", "key_required", "k2")), Action::Next::kRetryNow);
  EXPECT_EQ(action.Key(), "k2");
}

TEST(ActionTest, NotesResponseOfAnotherRequest) {
  Action action("/ballot/vote/1", "k1", 2);
  CallerReply reply = Reply(200, "complete");
  reply.is_own_response = false;
  action.OnReply(reply);
  EXPECT_TRUE(action.WrongResponse());
  Action already("/ballot/vote/1", "k1", 2);
  reply.status = 409;
  already.OnReply(reply);
  EXPECT_FALSE(already.WrongResponse());
}

TEST(IsOwnResponseTest, ComparesPathKeyAndLength) {
  const std::string body = R"({"action":"k1","path":"/a/b/1","bytes":3,"data":"xxx"})";
  EXPECT_TRUE(IsOwnResponse(body, "/a/b/1", "k1"));
  EXPECT_TRUE(IsOwnResponse(body, "/a/b/1", ""));
  EXPECT_FALSE(IsOwnResponse(body, "/a/b/2", "k1"));
  EXPECT_FALSE(IsOwnResponse(body, "/a/b/1", "k2"));
  EXPECT_FALSE(IsOwnResponse(body.substr(0, 40), "/a/b/1", "k1"));
  EXPECT_FALSE(
      IsOwnResponse(R"({"action":"k1","path":"/a/b/1","bytes":4,"data":"xxx"})", "/a/b/1", "k1"));
}

}  // namespace
}  // namespace masticpin::load
