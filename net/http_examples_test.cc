#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <regex>

#include "masticpin/error/error_info.h"
#include "masticpin/wire/http_headers.h"
#include "net/testing/test_site.h"

namespace masticpin {
namespace {

constexpr char kManifest[] =
    "[manifest]\nversion = 1\nsite = test\n"
    "[service shop]\nslots = 8\nconnections = 100\n"
    "[kind shop/order]\nimportance = 8\nidempotent = no\ndeadline_ms = 20000\nattempts = 3\n"
    "caller_tries = 10\nkey = required\n"
    "[kind shop/page]\nimportance = 1\nidempotent = yes\ndeadline_ms = 20000\nattempts = 3\n"
    "caller_tries = 5\nkey = optional\n";

constexpr char kKeyPattern[] = "shop-1\\.[A-Za-z0-9_-]{39}";

std::string ReadPage() {
  const auto root = std::filesystem::path(__FILE__).parent_path().parent_path();
  std::ifstream file(root / "docs" / "http.md");
  return {std::istreambuf_iterator<char>(file), {}};
}

/// One instance that produces the responses shown in docs/http.md.
class HttpExamplesTest : public testing::Test {
 protected:
  void SetUp() override {
    this->site = std::make_unique<TestSite>(
        kManifest, [this](const httplib::Request&, httplib::Response& response) {
          if (this->shed) {
            response.status = 503;
            response.set_header(kOutcomeHeader, "not-run");
          }
          response.set_content("run " + std::to_string(++this->runs), "text/plain");
        });
    this->site->Add("shop-1", "shop");
    this->site->Start();
  }

  httplib::Result Order(const std::string& key) {
    httplib::Client client(TestSite::Address(), this->site->HttpPort("shop-1"));
    httplib::Headers headers;
    if (!key.empty()) {
      headers.emplace(kIdempotencyKeyHeader, key);
    }
    return client.Post("/shop/order", headers, "item=4", "application/x-www-form-urlencoded");
  }

  std::atomic<bool> shed = false;
  std::atomic<int> runs = 0;
  std::unique_ptr<TestSite> site;
};

/// Checks everything that docs/http.md specifies for a refusal.
void ExpectRefusal(const httplib::Result& result, ErrorKind kind) {
  ASSERT_TRUE(result);
  const ErrorInfo& error_info = GetErrorInfo(kind);
  EXPECT_EQ(result->status, error_info.http_status);
  EXPECT_EQ(result->get_header_value("Content-Type"), "application/problem+json");
  EXPECT_EQ(result->get_header_value(kErrorHeader), error_info.name);
  EXPECT_EQ(result->get_header_value(kOutcomeHeader), OutcomeName(error_info.outcome));
  EXPECT_FALSE(result->has_header(kNextKeyHeader));
  const auto body = nlohmann::json::parse(result->body, nullptr, /*allow_exceptions=*/false);
  ASSERT_TRUE(body.is_object()) << result->body;
  EXPECT_EQ(body.value("type", ""), "urn:masticpin:error:" + std::string(error_info.name));
  EXPECT_EQ(body.value("title", ""), error_info.text);
  EXPECT_EQ(body.value("status", 0), error_info.http_status);
  EXPECT_EQ(body.value("outcome", ""), OutcomeName(error_info.outcome));
}

// Guards against a table of errors in docs/http.md that differs from what nodes send.
TEST(HttpPageTest, TableOfErrorsMatchesTheCode) {
  const std::string page = ReadPage();
  ASSERT_FALSE(page.empty());
  for (int number = 1; number <= kLastErrorKind; ++number) {
    const ErrorInfo& error_info = GetErrorInfo(static_cast<ErrorKind>(number));
    const std::string row = "\n| `" + std::string(error_info.name) + "` | " +
                            std::to_string(error_info.http_status) + " | " +
                            std::string(OutcomeName(error_info.outcome)) + " | ";
    EXPECT_NE(page.find(row), std::string::npos) << row;
  }
}

// Guards against examples in docs/http.md that no longer work: the first request without a key, the
// retry with the issued key, and the key for the next action.
TEST_F(HttpExamplesTest, FirstRequestGetsAKeyThatRunsOnce) {
  const httplib::Result first = this->Order("");
  ExpectRefusal(first, ErrorKind::kKeyRequired);
  const std::string key = first->get_header_value(kIdempotencyKeyHeader);
  EXPECT_TRUE(std::regex_match(key, std::regex(kKeyPattern))) << key;
  EXPECT_EQ(this->runs, 0);

  for (int i = 0; i < 2; ++i) {
    const httplib::Result ordered = this->Order(key);
    ASSERT_TRUE(ordered);
    EXPECT_EQ(ordered->status, 200);
    EXPECT_EQ(ordered->get_header_value(kOutcomeHeader), "complete");
    EXPECT_EQ(ordered->body, "run 1");
    const std::string next = ordered->get_header_value(kNextKeyHeader);
    EXPECT_TRUE(std::regex_match(next, std::regex(std::string(kKeyPattern) + "; life=[0-9]+")))
        << next;
  }
}

// Guards against a refused action that cannot continue: the refusal must give a successor key, and
// a retry with the closed key must give the same successor.
TEST_F(HttpExamplesTest, RefusalGivesASuccessorKey) {
  const std::string key = this->site->NewKey("shop-1", "/shop/order");
  this->shed = true;
  const httplib::Result refused = this->Order(key);
  ExpectRefusal(refused, ErrorKind::kUpstreamShed);
  const std::string successor = refused->get_header_value(kIdempotencyKeyHeader);
  EXPECT_TRUE(std::regex_match(successor, std::regex(kKeyPattern))) << successor;
  EXPECT_NE(successor, key);

  this->shed = false;
  const httplib::Result closed = this->Order(key);
  ExpectRefusal(closed, ErrorKind::kKeyClosed);
  EXPECT_EQ(closed->get_header_value(kIdempotencyKeyHeader), successor);
  const httplib::Result ordered = this->Order(successor);
  ASSERT_TRUE(ordered);
  EXPECT_EQ(ordered->get_header_value(kOutcomeHeader), "complete");
}

}  // namespace
}  // namespace masticpin
