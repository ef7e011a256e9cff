#include "masticpin/manifest/manifest_parser.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <ostream>

#include "masticpin/base/ini_problem_list.h"

namespace masticpin {
namespace {

constexpr char kValid[] =
    "[manifest]\n"
    "version = 7\n"
    "site = riga\n"
    "[service ballot]\n"
    "slots = 80\n"
    "connections = 600\n"
    "shed_status = 503\n"
    "[service dues]\n"
    "slots = 10\n"
    "connections = 170\n"
    "[kind ballot/vote]\n"
    "importance = 9\n"
    "idempotent = no\n"
    "deadline_ms = 3000\n"
    "attempts = 9\n"
    "caller_tries = 10\n"
    "key = required\n"
    "calls = dues/standing,\n"
    "        dues/standing ; one call on each line\n"
    "[kind dues/standing]\n"
    "importance = 5\n"
    "idempotent = yes\n"
    "deadline_ms = 1000\n"
    "attempts = 3\n"
    "caller_tries = 10\n"
    "key = optional\n";

std::string Replace(std::string text, std::string_view from, std::string_view to) {
  const std::size_t position = text.find(from);
  EXPECT_NE(position, std::string::npos) << from;
  return text.replace(position, from.size(), to);
}

std::string AllProblems(const ManifestParseResult& result) {
  std::string text;
  for (const ManifestProblem& problem : result.problems) {
    text += FormatProblem(problem) + "\n";
  }
  return text;
}

// Guards against a non-idempotent inner call that runs twice because the idempotent request that
// makes it is retried.
TEST(ManifestParserTest, IdempotentKindMustNotCallOneThatIsNot) {
  const std::string text = Replace(
      Replace(kValid, "idempotent = no", "idempotent = yes"),
      "idempotent = yes\ndeadline_ms = 1000\nattempts = 3\ncaller_tries = 10\nkey = optional",
      "idempotent = no\ndeadline_ms = 1000\nattempts = 3\ncaller_tries = 10\nkey = required");
  const ManifestParseResult result = ManifestParser::Parse(text, "m.ini");
  ASSERT_EQ(result.problems.size(), 2U) << AllProblems(result);
  EXPECT_NE(AllProblems(result).find("must not call dues/standing"), std::string::npos);
}

// Guards against values that are stored in the wrong field or not at all.
TEST(ManifestParserTest, ReadsAllFields) {
  const ManifestParseResult result = ManifestParser::Parse(kValid, "m.ini");
  ASSERT_TRUE(result.Ok()) << AllProblems(result);
  const Manifest& manifest = *result.manifest;
  EXPECT_EQ(manifest.Version(), 7U);
  EXPECT_EQ(manifest.Site(), "riga");
  EXPECT_EQ(manifest.MaxDeadline(), std::chrono::seconds(3));
  EXPECT_EQ(manifest.Services().size(), 2U);
  const ServiceSpec* ballot = manifest.FindService("ballot");
  ASSERT_NE(ballot, nullptr);
  EXPECT_EQ(ballot->slots, 80U);
  EXPECT_EQ(ballot->connections, 600U);
  EXPECT_EQ(ballot->shed_status, 503);
  EXPECT_EQ(manifest.FindService("ballo"), nullptr);
  EXPECT_EQ(manifest.FindService("votes"), nullptr);
  const KindSpec* vote = manifest.FindKind("ballot", "vote");
  ASSERT_NE(vote, nullptr);
  EXPECT_EQ(vote->importance, 9);
  EXPECT_FALSE(vote->idempotent);
  EXPECT_TRUE(vote->key_required);
  EXPECT_EQ(vote->attempts, 9U);
  EXPECT_EQ(vote->caller_tries, 10U);
  EXPECT_EQ(vote->calls, (std::vector<KindRef>(2, {"dues", "standing"})));
  EXPECT_EQ(vote->cost, 3U) << "a kind that is listed twice must be counted twice";
  EXPECT_EQ(manifest.FindKind("dues", "vote"), nullptr);
}

// An edit of the valid text and the only problem that it must cause.
struct InvalidInput {
  std::string name;
  std::string from;
  std::string to;
  int line;
  std::string section;
  std::string key;
  std::string message_part;
};

void PrintTo(const InvalidInput& invalid_input, std::ostream* out) {
  *out << invalid_input.name;
}

class ManifestInvalidInputTest : public testing::TestWithParam<InvalidInput> {};

// Guards against accepting an invalid manifest, and against a message that does not locate the
// problem or does not say what is allowed.
TEST_P(ManifestInvalidInputTest, IsReported) {
  const InvalidInput& invalid_input = GetParam();
  const ManifestParseResult result =
      ManifestParser::Parse(Replace(kValid, invalid_input.from, invalid_input.to), "m.ini");
  EXPECT_FALSE(result.Ok());
  ASSERT_EQ(result.problems.size(), 1U) << AllProblems(result);
  const ManifestProblem& problem = result.problems.front();
  EXPECT_EQ(problem.file, "m.ini");
  EXPECT_EQ(problem.line, invalid_input.line);
  EXPECT_EQ(problem.section, invalid_input.section);
  EXPECT_EQ(problem.key, invalid_input.key);
  EXPECT_NE(problem.message.find(invalid_input.message_part), std::string::npos) << problem.message;
}

const std::string kVote = "kind ballot/vote";
const std::string kBallot = "service ballot";

INSTANTIATE_TEST_SUITE_P(
    All,
    ManifestInvalidInputTest,
    testing::Values(
        InvalidInput{"UnknownKey", "slots = 80", "slots = 80\nslot = 1", 6, kBallot, "slot",
                     "allowed keys: slots, connections, shed_status"},
        InvalidInput{"UnknownSection", "[service dues]", "[services]\n[service dues]", 8,
                     "services", "", "allowed sections: [manifest]"},
        InvalidInput{"MissingKey", "slots = 80\n", "", 4, kBallot, "slots", "missing key"},
        InvalidInput{"MissingManifest", "[manifest]\nversion = 7\nsite = riga\n", "", 0, "manifest",
                     "", "missing section"},
        InvalidInput{"CallsMissingService", "calls = dues/standing", "calls = due/standing", 18,
                     kVote, "calls", "[service due] must exist"},
        InvalidInput{"CallsMissingKind", "calls = dues/standing", "calls = dues/stand", 18, kVote,
                     "calls", "[kind dues/stand] must exist"},
        InvalidInput{"CallsWithoutSlash", "calls = dues/standing", "calls = dues", 18, kVote,
                     "calls", "SERVICE/NAME"},
        InvalidInput{"CallsEmptyItem", "calls = dues/standing", "calls = dues/standing,", 18, kVote,
                     "calls", "SERVICE/NAME"},
        InvalidInput{"Cycle",
                     "idempotent = yes\ndeadline_ms = 1000\nattempts = 3\ncaller_tries = 10\n"
                     "key = optional",
                     "idempotent = no\ndeadline_ms = 1000\nattempts = 3\ncaller_tries = 10\n"
                     "key = required\ncalls = ballot/vote",
                     18, kVote, "calls", "ballot/vote -> dues/standing -> ballot/vote"},
        InvalidInput{"SelfCycle", "key = optional", "key = optional\ncalls = dues/standing", 27,
                     "kind dues/standing", "calls", "dues/standing -> dues/standing"},
        InvalidInput{"NegativeNumber", "slots = 80", "slots = -80", 5, kBallot, "slots",
                     "whole number from 1 to 100000, not \"-80\""},
        InvalidInput{"NonNumeric", "deadline_ms = 3000", "deadline_ms = 3 s", 14, kVote,
                     "deadline_ms", "whole number from 1 to 600000"},
        InvalidInput{"NumberOverflow", "version = 7", "version = 18446744073709551616", 2,
                     "manifest", "version", "whole number"},
        InvalidInput{"Zero", "caller_tries = 10", "caller_tries = 0", 16, kVote, "caller_tries",
                     "from 1 to 1000"},
        InvalidInput{"DuplicateSection", "[service dues]",
                     "[service ballot]\nslots = 1\n"
                     "connections = 1\n[service dues]",
                     8, kBallot, "", "duplicate section"},
        InvalidInput{"DuplicateKey", "slots = 80", "slots = 80\nslots = 81", 6, kBallot, "slots",
                     "duplicate key"},
        InvalidInput{"ImportanceOutOfRange", "importance = 9", "importance = 10", 12, kVote,
                     "importance", "from 0 to 9"},
        InvalidInput{"AttemptsBelowCost", "attempts = 9", "attempts = 2", 15, kVote, "attempts",
                     "must be at least 3"},
        InvalidInput{"TooLarge", "[manifest]", std::string(1 << 20, '#') + "\n[manifest]", 0, "",
                     "", "at most 1048576"},
        InvalidInput{"NotUtf8", "site = riga", "site = r\xC0\xAFga", 3, "", "", "UTF-8"},
        InvalidInput{"NulByte", "site = riga", std::string("site = ri\0ga", 12), 3, "", "",
                     "UTF-8"},
        InvalidInput{"OptionalKeyForNonIdempotent", "key = required", "key = optional", 17, kVote,
                     "key", "must be required for a kind that is not idempotent"},
        InvalidInput{"SiteName", "site = riga", "site = Riga", 3, "manifest", "site", "a-z, 0-9"},
        InvalidInput{"ServiceName", "[service dues]",
                     "[service Dues]\nslots = 1\nconnections = 1\n"
                     "[service dues]",
                     8, "service Dues", "", "a-z, 0-9"},
        InvalidInput{"KindName", "[kind dues/standing]",
                     "[kind dues/s_t]\nimportance = 1\n"
                     "idempotent = yes\ndeadline_ms = 1\nattempts = 1\ncaller_tries = 1\n"
                     "key = required\n[kind dues/standing]",
                     20, "kind dues/s_t", "", "a-z, 0-9"},
        InvalidInput{"KindOfMissingService", "[kind dues/standing]",
                     "[kind due/s]\nimportance = 1\n"
                     "idempotent = yes\ndeadline_ms = 1\nattempts = 1\ncaller_tries = 1\n"
                     "key = required\n[kind dues/standing]",
                     20, "kind due/s", "", "[service due] must exist"},
        InvalidInput{"WrongChoice", "idempotent = no", "idempotent = false", 13, kVote,
                     "idempotent", "must be yes or no"},
        InvalidInput{"SuccessAsShedStatus", "shed_status = 503", "shed_status = 200", 7, kBallot,
                     "shed_status", "from 400 to 599"},
        InvalidInput{"LineWithoutValue", "slots = 80", "slots = 80\nslots", 6, kBallot, "",
                     "expected \"key = value\""},
        InvalidInput{"KeyBeforeSection", "[manifest]", "slots = 1\n[manifest]", 1, "", "slots",
                     "must follow a section heading"},
        InvalidInput{"LongLine", "slots = 80", "slots = 80\n; " + std::string(200, 'x'), 6, kBallot,
                     "", "a line has at most"},
        InvalidInput{"IndentedKey", "connections = 600", " connections = 600\nconnections = 600", 6,
                     kBallot, "", "start a key in the first column"},
        InvalidInput{"TextAfterHeading", "[service dues]", "[service dues] slots = 3", 8,
                     "service dues", "", "only a comment"}),
    [](const testing::TestParamInfo<InvalidInput>& info) { return info.param.name; });

// Guards against a parser that stops at the first problem: operators want to see all problems at
// once.
TEST(ManifestParserTest, ReportsAllProblemsOrderedByLine) {
  std::string text = Replace(kValid, "version = 7", "version = x");
  text = Replace(text, "slots = 80", "slots = 0");
  text = Replace(text, "attempts = 3", "attempts = many");
  const ManifestParseResult result = ManifestParser::Parse(text, "m.ini");
  ASSERT_EQ(result.problems.size(), 3U) << AllProblems(result);
  EXPECT_EQ(result.problems[0].line, 2);
  EXPECT_EQ(result.problems[1].line, 5);
  EXPECT_EQ(result.problems[2].line, 24);
}

// Guards against a problem list that needs far more memory than the text.
TEST(ManifestParserTest, BoundsTheNumberOfProblems) {
  std::string text;
  while (text.size() + 2 <= ManifestParser::kMaxTextBytes) {
    text += "x\n";
  }
  const ManifestParseResult result = ManifestParser::Parse(text, "m.ini");
  EXPECT_EQ(result.problems.size(), IniProblemList::kMaxProblems + 1);
  EXPECT_NE(result.problems.back().message.find("not listed"), std::string::npos);
}

// Returns a manifest with one service in which kind k<i> calls kind k<i+1> `fan_out` times.
std::string Chain(int length, int fan_out, std::string_view attempts) {
  std::string text = "[manifest]\nversion = 1\nsite = s\n[service s]\nslots = 1\nconnections = 1\n";
  for (int i = 0; i < length; ++i) {
    text += "[kind s/k" + std::to_string(i) + "]\nimportance = 1\nidempotent = yes\nattempts = ";
    text.append(attempts) += "\ndeadline_ms = 1\ncaller_tries = 1\nkey = required\n";
    for (int call = 0; call < fan_out && i + 1 < length; ++call) {
      text += (call == 0 ? "calls = s/k" : ",\n s/k") + std::to_string(i + 1);
    }
    text += "\n";
  }
  return text;
}

// Guards against recursion over the call graph, which would overflow the stack for a long call
// chain.
TEST(ManifestParserTest, ComputesCostOfVeryLongChain) {
  const ManifestParseResult result = ManifestParser::Parse(Chain(6000, 1, "6000"), "m.ini");
  ASSERT_TRUE(result.Ok()) << AllProblems(result);
  EXPECT_EQ(result.manifest->FindKind("s", "k0")->cost, 6000U);
}

// Guards against an overflow of the cost: it grows exponentially with the depth of the call graph,
// and a value that wrapped around to a small number would pass the check of the attempts.
TEST(ManifestParserTest, CostSaturates) {
  const ManifestParseResult result = ManifestParser::Parse(Chain(60, 2, "1000000"), "m.ini");
  ASSERT_FALSE(result.Ok());
  EXPECT_NE(result.problems.front().message.find("at least 4294967295"), std::string::npos)
      << AllProblems(result);
}

// Guards against a crash on arbitrary bytes from the configuration service.
RC_GTEST_PROP(ManifestParserProperty, AcceptsAnyBytes, (const std::string& text)) {
  const ManifestParseResult result = ManifestParser::Parse(text, "m.ini");
  RC_ASSERT(result.Ok() == result.problems.empty());
}

// Guards against a crash on almost valid text, which random bytes rarely produce.
RC_GTEST_PROP(ManifestParserProperty, AcceptsAnyEditsOfValidText, ()) {
  std::string text = kValid;
  const auto edits = *rc::gen::inRange(1, 6);
  for (int i = 0; i < edits && !text.empty(); ++i) {
    const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
    const auto length = *rc::gen::inRange<std::size_t>(0, 20);
    text.replace(position, length,
                 *rc::gen::oneOf(rc::gen::element<std::string>("[", "]", "\n", " ", "=", ",", "/",
                                                               "-1", "[kind a/b]\n", ";", "\r"),
                                 rc::gen::arbitrary<std::string>()));
  }
  const ManifestParseResult result = ManifestParser::Parse(text, "m.ini");
  RC_ASSERT(result.Ok() == result.problems.empty());
}

// Guards against a difference between what Format() writes and what Parse() reads.
RC_GTEST_PROP(ManifestParserProperty, FormatAndParseRoundTrip, ()) {
  const auto kind_count = *rc::gen::inRange(1, 12);
  std::vector<KindSpec> kinds;
  for (int i = 0; i < kind_count; ++i) {
    KindSpec kind;
    kind.service = *rc::gen::element<std::string>("a", "b-2");
    kind.name = "k" + std::to_string(i);
    kind.importance = static_cast<std::uint8_t>(*rc::gen::inRange(0, 10));
    kind.idempotent = *rc::gen::arbitrary<bool>();
    kind.key_required = !kind.idempotent || *rc::gen::arbitrary<bool>();
    kind.deadline = std::chrono::milliseconds(*rc::gen::inRange(1, 600'001));
    kind.caller_tries = static_cast<std::uint32_t>(*rc::gen::inRange(1, 1001));
    // Kinds call only earlier kinds, so there is no cycle.
    const auto calls = kinds.empty() ? 0 : *rc::gen::inRange(0, 4);
    for (int call = 0; call < calls; ++call) {
      const KindSpec& callee = kinds[*rc::gen::inRange<std::size_t>(0, kinds.size())];
      if (kind.idempotent && !callee.idempotent) {
        continue;
      }
      kind.calls.push_back({callee.service, callee.name});
      kind.cost += callee.cost;
    }
    kind.attempts = std::min(1'000'000U, kind.cost + *rc::gen::inRange(0U, 100U));
    RC_PRE(kind.cost <= kind.attempts);
    kinds.push_back(std::move(kind));
  }
  const std::vector<ServiceSpec> services = {
      {"a", *rc::gen::inRange(1U, 100'001U), *rc::gen::inRange(1U, 100'001U), std::nullopt},
      {"b-2", 1, 1, *rc::gen::inRange(400, 600)}};
  const Manifest manifest(*rc::gen::inRange<std::uint64_t>(1, UINT64_MAX), "site-1", services,
                          kinds);

  const std::string text = ManifestParser::Format(manifest);
  const ManifestParseResult result = ManifestParser::Parse(text, "m.ini");

  RC_LOG(text + AllProblems(result));
  RC_ASSERT(result.Ok());
  RC_ASSERT(ManifestParser::Format(*result.manifest) == text);
  for (const KindSpec& kind : kinds) {
    RC_ASSERT(result.manifest->FindKind(kind.service, kind.name)->cost == kind.cost);
  }
}

}  // namespace
}  // namespace masticpin
