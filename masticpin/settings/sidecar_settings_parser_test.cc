#include "masticpin/settings/sidecar_settings_parser.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

namespace masticpin {
namespace {

constexpr std::string_view kValid =
    "[node]\n"
    "name = riga-a-1\n"
    "service = dues\n"
    "zone = riga-a\n"
    "request_address = 192.0.2.1:80\n"
    "peer_address = 192.0.2.1:81\n"
    "ready_address = 192.0.2.1:82\n"
    "metrics_address = 192.0.2.1:83\n"
    "upstream_address = 192.0.2.1:84\n"
    "registry_address = 192.0.2.9:85\n";

std::string ProblemsOf(const std::string& text) {
  std::string problems;
  for (const IniProblem& problem : SidecarSettingsParser::Parse(text, "s.ini").problems) {
    problems += FormatProblem(problem) + "\n";
  }
  return problems;
}

TEST(SidecarSettingsParserTest, ReadsAllKeysAndDefaults) {
  const SidecarSettingsParseResult result = SidecarSettingsParser::Parse(
      std::string(kValid) +
          "[retries]\nratio = 0.1\nslack = 20\n[limits]\nleave_notice_ms = 2500\n",
      "s.ini");
  ASSERT_TRUE(result.settings.has_value());
  EXPECT_EQ(result.settings->name, "riga-a-1");
  EXPECT_EQ(result.settings->registry_address.ToString(), "192.0.2.9:85");
  EXPECT_DOUBLE_EQ(result.settings->retries.ratio, 0.1);
  EXPECT_DOUBLE_EQ(result.settings->retries.slack, 20);
  EXPECT_EQ(result.settings->leave_notice_time, std::chrono::milliseconds(2500));
  EXPECT_EQ(result.settings->stop_time, std::chrono::seconds(6));
  EXPECT_EQ(result.settings->log_level, "info");
}

TEST(SidecarSettingsParserTest, ReportsProblemsWithTheirLocation) {
  EXPECT_NE(ProblemsOf("[node]\nname = x\n").find("service"), std::string::npos);
  EXPECT_NE(ProblemsOf(std::string(kValid) + "color = red\n").find("color"), std::string::npos);
  EXPECT_NE(ProblemsOf(std::string(kValid) + "[retries]\nratio = 2\n").find("from 0 to 1"),
            std::string::npos);
  EXPECT_NE(ProblemsOf(std::string(kValid) + "[extra]\n").find("unknown section"),
            std::string::npos);
}

// Guards against a node that is configured as its own upstream.
TEST(SidecarSettingsParserTest, RejectsDuplicateAddresses) {
  std::string text(kValid);
  text.replace(text.find("192.0.2.1:84"), 12, "192.0.2.1:80");
  EXPECT_NE(ProblemsOf(text).find("must differ from request_address"), std::string::npos);
}

// Guards against a page in docs that differs from what the program accepts.
TEST(SidecarSettingsParserTest, PageIsUpToDate) {
  std::ifstream file(std::string(MASTICPIN_SOURCE_DIR) + "/docs/settings-sidecar.md");
  std::ostringstream text;
  text << file.rdbuf();
  EXPECT_EQ(text.str(), SidecarSettingsParser::MarkdownPage())
      << "run masticpin-sidecar --print_settings_page > docs/settings-sidecar.md";
}

}  // namespace
}  // namespace masticpin
