#include "standins/ini_file.h"

#include <gtest/gtest.h>

namespace masticpin::standins {
namespace {

// Guards against phases that run in the wrong order, for example sorted by name: a scenario runs
// its phases in the order in which IniFile returns their sections.
TEST(IniFileTest, KeepsOrderOfSections) {
  const auto file = IniFile::Parse("[phase b]\nx=1\n[other]\ny=2\n[phase a]\nx=3\n");
  ASSERT_TRUE(file);
  const auto phases = file->SectionsOfType("phase");
  ASSERT_EQ(phases.size(), 2U);
  EXPECT_EQ(phases[0].first, "b");
  EXPECT_EQ(phases[1].first, "a");
  EXPECT_EQ(phases[1].second->GetInt("x", 0), 3);
}

TEST(IniFileTest, UsesDefaultForAbsentAndMalformedValues) {
  const auto file = IniFile::Parse("[s]\nnumber=abc\n");
  ASSERT_TRUE(file);
  EXPECT_EQ(file->Section("s").GetInt("number", 7), 7);
  EXPECT_EQ(file->Section("s").GetInt("absent", 8), 8);
  EXPECT_EQ(file->Section("absent").Get("x", "y"), "y");
}

TEST(IniFileTest, ReportsSyntaxError) {
  EXPECT_FALSE(IniFile::Parse("[s]\nno equals sign\n"));
}

TEST(IniFileTest, SplitsListAndDropsBlanks) {
  EXPECT_EQ(SplitList(" dues/standing , archive/receipt,, "),
            (std::vector<std::string>{"dues/standing", "archive/receipt"}));
  EXPECT_TRUE(SplitList("").empty());
}

}  // namespace
}  // namespace masticpin::standins
