#include "masticpin/error/answer_table.h"

#include <gtest/gtest.h>

#include <set>

namespace masticpin {
namespace {

// Guards against a row in the wrong place: the table is indexed by kind.
TEST(AnswerTableTest, EachKindHasItsOwnRow) {
  std::set<std::string_view> names;
  for (int i = 1; i <= kLastErrorKind; ++i) {
    const Answer& answer = GetAnswer(static_cast<ErrorKind>(i));
    EXPECT_EQ(static_cast<int>(answer.kind), i);
    EXPECT_TRUE(names.insert(answer.name).second) << answer.name;
  }
}

// Guards against sending a request that may have run to another instance without regard to its
// idempotence: such an answer must never invite an unconditional retry.
TEST(AnswerTableTest, UnknownOutcomeNeverInvitesPlainRetry) {
  for (int i = 1; i <= kLastErrorKind; ++i) {
    const Answer& answer = GetAnswer(static_cast<ErrorKind>(i));
    if (answer.outcome == Outcome::kUnknown) {
      EXPECT_NE(answer.caller_retry, CallerRetry::kAtOnce) << answer.name;
      EXPECT_NE(answer.caller_retry, CallerRetry::kAfterDelay) << answer.name;
    }
  }
}

}  // namespace
}  // namespace masticpin
