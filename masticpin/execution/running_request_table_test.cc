#include "masticpin/execution/running_request_table.h"

#include <gtest/gtest.h>

namespace masticpin {
namespace {

TEST(RunningRequestTableTest, FindsTheRequestThatCausedACall) {
  RunningRequestTable table;
  RunningRequest root;
  RunningRequest inner;
  table.Add("abc", root);
  table.Add("abc.1", inner);
  EXPECT_EQ(table.FindParent("abc.1"), &root);
  EXPECT_EQ(table.FindParent("abc.1.2"), &inner);
  EXPECT_EQ(table.FindParent("abc"), nullptr);
  EXPECT_EQ(table.FindParent("xyz.1"), nullptr);
  EXPECT_EQ(RunningRequestTable::RootOf("abc.1.2"), "abc");
}

// Guards against using a parent request after its removal, and against removing a request when a
// second one with the same id ends.
TEST(RunningRequestTableTest, RemovesOnlyTheGivenRequest) {
  RunningRequestTable table;
  RunningRequest first;
  RunningRequest second;
  table.Add("abc", first);
  table.Add("abc", second);
  table.Remove("abc", second);
  EXPECT_EQ(table.FindParent("abc.1"), &first);
  table.Remove("abc", first);
  EXPECT_EQ(table.FindParent("abc.1"), nullptr);
}

}  // namespace
}  // namespace masticpin
