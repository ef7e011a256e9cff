#include "masticpin/routing/routing_configuration.h"

#include <gtest/gtest.h>

namespace masticpin {
namespace {

Route MakeRoute(std::string name, std::string host, std::string prefix) {
  Route route;
  route.name = std::move(name);
  route.host = std::move(host);
  route.prefix = std::move(prefix);
  route.destinations = {{"almanac", 1}};
  return route;
}

class RoutingConfigurationTest : public testing::Test {
 protected:
  RoutingConfigurationTest()
      : configuration(
            1,
            {MakeRoute("short", "a.example", "/x/"), MakeRoute("long", "a.example", "/x/y/"),
             MakeRoute("other", "b.example", "/x/")},
            {{"almanac", "/healthz", 10}},
            RequestLimits{}) {}

  std::string Find(std::string_view host, std::string_view target) const {
    const Route* route = this->configuration.FindRoute(host, target);
    return route == nullptr ? "" : route->name;
  }

  const RoutingConfiguration configuration;
};

// Guards against a request that is sent to the service of a shorter prefix.
TEST_F(RoutingConfigurationTest, LongestPrefixWins) {
  EXPECT_EQ(this->Find("a.example", "/x/y/z"), "long");
  EXPECT_EQ(this->Find("a.example", "/x/z/y/"), "short");
  EXPECT_EQ(this->Find("b.example", "/x/y/z"), "other");
}

// Guards against prefixes that match in the middle of a path segment.
TEST_F(RoutingConfigurationTest, PrefixEndsAtSlash) {
  EXPECT_EQ(this->Find("a.example", "/x"), "");
  EXPECT_EQ(this->Find("a.example", "/xy/z"), "");
  EXPECT_EQ(this->Find("a.example", "/x/yz"), "short");
  EXPECT_EQ(this->Find("a.example", "/x/"), "short");
}

// Guards against slashes in the query that affect the choice of the route.
TEST_F(RoutingConfigurationTest, QueryIsIgnored) {
  EXPECT_EQ(this->Find("a.example", "/x/q?p=/x/y/"), "short");
  EXPECT_EQ(this->Find("a.example", "/?p=/x/"), "");
}

TEST_F(RoutingConfigurationTest, HostIgnoresCaseAndPort) {
  EXPECT_EQ(this->Find("A.Example:8080", "/x/1"), "short");
  EXPECT_EQ(this->Find("c.example", "/x/1"), "");
  EXPECT_EQ(this->Find("", "/x/1"), "");
}

TEST_F(RoutingConfigurationTest, FindsServices) {
  ASSERT_NE(this->configuration.FindService("almanac"), nullptr);
  EXPECT_EQ(this->configuration.FindService("almanac")->max_connections, 10U);
  EXPECT_EQ(this->configuration.FindService("dues"), nullptr);
}

}  // namespace
}  // namespace masticpin
