#include "sidecar/utf8.h"

#include <gtest/gtest.h>

namespace masticpin {
namespace {

// Guards against a text that an older node cannot decode and that is taken for one that it can.
TEST(Utf8Test, InvalidSequencesAreFound) {
  EXPECT_TRUE(IsUtf8(""));
  EXPECT_TRUE(IsUtf8("/path?q=1"));
  EXPECT_TRUE(IsUtf8("/caf\xc3\xa9/\xe2\x82\xac/\xf0\x9f\x98\x80"));
  EXPECT_FALSE(IsUtf8("/\xff"));
  EXPECT_FALSE(IsUtf8("/\xc3"));
  EXPECT_FALSE(IsUtf8("/\xc0\xaf"));
  EXPECT_FALSE(IsUtf8("/\xed\xa0\x80"));
}

}  // namespace
}  // namespace masticpin
