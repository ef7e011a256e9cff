#include "masticpin/error/error_info.h"

#include <gtest/gtest.h>

#include <set>

namespace masticpin {
namespace {

// Guards against a row in the wrong position: the table is indexed by kind.
TEST(ErrorInfoTest, EachKindHasItsOwnRow) {
  std::set<std::string_view> names;
  for (int i = 1; i <= kLastErrorKind; ++i) {
    const ErrorInfo& error_info = GetErrorInfo(static_cast<ErrorKind>(i));
    EXPECT_EQ(static_cast<int>(error_info.kind), i);
    EXPECT_TRUE(names.insert(error_info.name).second) << error_info.name;
  }
}

// Guards against a request that may have run and is then retried although it is not idempotent: an
// unknown outcome must never allow an unconditional retry.
TEST(ErrorInfoTest, UnknownOutcomeNeverAllowsUnconditionalRetry) {
  for (int i = 1; i <= kLastErrorKind; ++i) {
    const ErrorInfo& error_info = GetErrorInfo(static_cast<ErrorKind>(i));
    if (error_info.outcome == Outcome::kUnknown) {
      EXPECT_NE(error_info.caller_retry, CallerRetry::kAtOnce) << error_info.name;
      EXPECT_NE(error_info.caller_retry, CallerRetry::kAfterDelay) << error_info.name;
    }
  }
}

}  // namespace
}  // namespace masticpin
