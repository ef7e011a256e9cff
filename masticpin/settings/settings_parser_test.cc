#include "masticpin/settings/settings_parser.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <ostream>

namespace masticpin {
namespace {

constexpr char kValid[] =
    "[node]\n"
    "name = ballot-1\n"
    "service = ballot\n"
    "zone = centrs\n"
    "http_address = 192.0.2.1:8080\n"
    "peer_address = 192.0.2.1:8081\n"
    "upstream_address = 127.0.0.1:9000\n"
    "platform_address = [2001:db8::1]:9100\n"
    "[peers]\n"
    "public_key = rq:rM>}U?@Lns47E1%kR.o@n%FcmmsL/@{H8]yf7\n"
    "secret_key = JTKVSB%%)wK0E.X)V>+}o?pNmC{O&4W4b!Ni{Lh6\n";

std::string Replace(std::string text, std::string_view from, std::string_view to) {
  const std::size_t position = text.find(from);
  EXPECT_NE(position, std::string::npos) << from;
  return text.replace(position, from.size(), to);
}

std::string AllProblems(const SettingsParseResult& result) {
  std::string text;
  for (const SettingsProblem& problem : result.problems) {
    text += FormatProblem(problem) + "\n";
  }
  return text;
}

// Guards against values that are stored in the wrong field, and against a missing default.
TEST(SettingsParserTest, ReadsValuesAndDefaults) {
  const SettingsParseResult result = SettingsParser::Parse(kValid, "node.ini");
  ASSERT_TRUE(result.Ok()) << AllProblems(result);
  const NodeSettings& settings = *result.settings;
  EXPECT_EQ(settings.name, "ballot-1");
  EXPECT_EQ(settings.service, "ballot");
  EXPECT_EQ(settings.zone, "centrs");
  EXPECT_EQ(settings.http_address, (SocketAddress{"192.0.2.1", 8080}));
  EXPECT_EQ(settings.peer_address, (SocketAddress{"192.0.2.1", 8081}));
  EXPECT_EQ(settings.upstream_address, (SocketAddress{"127.0.0.1", 9000}));
  EXPECT_EQ(settings.platform_address.ToString(), "[2001:db8::1]:9100");
  EXPECT_EQ(settings.document, "manifest");
  EXPECT_FALSE(settings.plaintext);
  EXPECT_EQ(settings.public_key, "rq:rM>}U?@Lns47E1%kR.o@n%FcmmsL/@{H8]yf7");
  EXPECT_EQ(settings.secret_key, "JTKVSB%%)wK0E.X)V>+}o?pNmC{O&4W4b!Ni{Lh6");
  EXPECT_EQ(settings.log_level, "info");
  EXPECT_EQ(settings.log_file, "");
}

// An edit of the valid text and the start of the only problem that it must cause.
struct InvalidInput {
  std::string name;
  std::string from;
  std::string to;
  std::string problem;
};

void PrintTo(const InvalidInput& invalid_input, std::ostream* out) {
  *out << invalid_input.name;
}

class SettingsInvalidInputTest : public testing::TestWithParam<InvalidInput> {};

// Guards against starting a node with invalid settings, and against a message that does not locate
// the problem.
TEST_P(SettingsInvalidInputTest, IsReported) {
  const InvalidInput& invalid_input = GetParam();
  const SettingsParseResult result =
      SettingsParser::Parse(Replace(kValid, invalid_input.from, invalid_input.to), "f");
  EXPECT_FALSE(result.Ok());
  ASSERT_EQ(result.problems.size(), 1U) << AllProblems(result);
  EXPECT_EQ(AllProblems(result).substr(0, invalid_input.problem.size()), invalid_input.problem);
}

const std::string kAddressProblem = "must be an IP address and a port";

INSTANTIATE_TEST_SUITE_P(
    All,
    SettingsInvalidInputTest,
    testing::Values(
        InvalidInput{"UnknownSection", "[peers]", "[peer]\n[peers]", "f:9: [peer] unknown section"},
        InvalidInput{"UnknownKey", "zone =", "region = x\nzone =",
                     "f:4: [node] region: unknown key; allowed keys: name, service"},
        InvalidInput{"MissingKey", "zone = centrs\n", "", "f:1: [node] zone: missing key"},
        InvalidInput{"HostName", "192.0.2.1:8080", "localhost:8080",
                     "f:5: [node] http_address: " + kAddressProblem},
        InvalidInput{"NoPort", "192.0.2.1:8080", "192.0.2.1",
                     "f:5: [node] http_address: " + kAddressProblem},
        InvalidInput{"PortZero", "192.0.2.1:8080", "192.0.2.1:0",
                     "f:5: [node] http_address: " + kAddressProblem},
        InvalidInput{"LargePort", "192.0.2.1:8080", "192.0.2.1:65536",
                     "f:5: [node] http_address: " + kAddressProblem},
        InvalidInput{"AnyAddress", "192.0.2.1:8080", "0.0.0.0:8080",
                     "f:5: [node] http_address: " + kAddressProblem},
        InvalidInput{"BareIpv6", "[2001:db8::1]:9100", "2001:db8::1:9100",
                     "f:8: [node] platform_address: " + kAddressProblem},
        InvalidInput{"SameListenAddress", "192.0.2.1:8081", "192.0.2.1:8080",
                     "f:6: [node] peer_address: must differ"},
        InvalidInput{"UpstreamIsNode", "127.0.0.1:9000", "192.0.2.1:8080",
                     "f:7: [node] upstream_address: must differ"},
        InvalidInput{
            "PlaintextNotOnLoopback",
            "public_key = rq:rM>}U?@Lns47E1%kR.o@n%FcmmsL/@{H8]yf7\n"
            "secret_key = JTKVSB%%)wK0E.X)V>+}o?pNmC{O&4W4b!Ni{Lh6",
            "plaintext = yes",
            "f:10: [peers] plaintext: yes is allowed only when peer_address is a loopback"},
        InvalidInput{"PlaintextWord", "[peers]", "[peers]\nplaintext = true",
                     "f:10: [peers] plaintext: must be yes or no"},
        InvalidInput{"MissingPublicKey", "public_key = rq:rM>}U?@Lns47E1%kR.o@n%FcmmsL/@{H8]yf7\n",
                     "", "f:9: [peers] public_key: missing key"},
        InvalidInput{"MissingSecretKey", "secret_key = JTKVSB%%)wK0E.X)V>+}o?pNmC{O&4W4b!Ni{Lh6\n",
                     "", "f:9: [peers] secret_key: missing key"},
        InvalidInput{"LogLevel", "[peers]", "[log]\nlevel = loud\n[peers]",
                     "f:10: [log] level: must be trace, debug"}),
    [](const testing::TestParamInfo<InvalidInput>& info) { return info.param.name; });

// Guards against rejecting a local setup without encryption, and against accepting keys that would
// have no effect in it.
TEST(SettingsParserTest, PlaintextOnLoopback) {
  std::string text = Replace(kValid, "192.0.2.1:8081", "127.0.0.1:8081");
  text.resize(text.find("public_key"));
  text += "plaintext = yes\n";
  EXPECT_TRUE(SettingsParser::Parse(text, "f").Ok());
  text += "public_key = rq:rM>}U?@Lns47E1%kR.o@n%FcmmsL/@{H8]yf7\n";
  EXPECT_FALSE(SettingsParser::Parse(text, "f").Ok());
}

// Guards against writing an invalid secret key, which may differ from the real one in a single
// character, to the log.
TEST(SettingsParserTest, SecretKeyIsNotInMessages) {
  const SettingsParseResult result =
      SettingsParser::Parse(Replace(kValid, "= JTKVSB", "= ~JTKVSB"), "f");
  ASSERT_EQ(result.problems.size(), 1U);
  EXPECT_EQ(AllProblems(result).find("JTKVSB"), std::string::npos);
}

// Guards against a crash on arbitrary bytes in the settings file.
RC_GTEST_PROP(SettingsParserProperty, AcceptsAnyBytes, (const std::string& bytes)) {
  const SettingsParseResult result = SettingsParser::Parse(kValid + bytes, "f");
  RC_ASSERT(result.Ok() == result.problems.empty());
}

// Guards against an address that changes when it is formatted and parsed again.
RC_GTEST_PROP(SocketAddressProperty, FormatAndParseRoundTrip, (std::uint16_t port, bool ipv6)) {
  RC_PRE(port != 0);
  const SocketAddress address{ipv6 ? "::1" : "127.0.0.1", port};
  RC_ASSERT(SocketAddress::Parse(address.ToString()) == address);
  RC_ASSERT(address.IsLoopback());
}

}  // namespace
}  // namespace masticpin
