#include "masticpin/manifest/manifest_diff.h"

#include <gtest/gtest.h>

namespace masticpin {
namespace {

struct Contents {
  std::uint64_t version = 1;
  ServiceSpec service{"dues", 10, 170, 503};
  KindSpec kind{"dues", "payment", 8, false, true, std::chrono::seconds(2), 6, 10, {}, 1};

  Manifest Build() const { return {this->version, "riga", {this->service}, {this->kind}}; }
};

// Returns the changes as "effect section key before after", one per line.
std::string Changes(const Manifest& before, const Manifest& after) {
  std::string text;
  for (const ManifestChange& change : ManifestDiff::Compare(before, after)) {
    text += std::string(ChangeEffectName(change.effect)) + " " + change.section + " " + change.key +
            " " + change.before + " " + change.after + "\n";
  }
  return text;
}

// Guards against a changed field that is not listed or is listed with the wrong effect, in both
// directions.
TEST(ManifestDiffTest, ListsEveryFieldWithItsEffect) {
  const Contents before;
  Contents after;
  after.version = 2;
  after.service = {"dues", 12, 160, std::nullopt};
  after.kind = {
      "dues", "payment", 7, true, false, std::chrono::seconds(3), 5, 11, {{"dues", "standing"}}, 2};
  EXPECT_EQ(Changes(before.Build(), after.Build()),
            "neutral manifest version 1 2\n"
            "looser service dues slots 10 12\n"
            "stricter service dues connections 170 160\n"
            "stricter service dues shed_status 503 \n"
            "stricter kind dues/payment importance 8 7\n"
            "looser kind dues/payment idempotent no yes\n"
            "looser kind dues/payment deadline_ms 2000 3000\n"
            "stricter kind dues/payment attempts 6 5\n"
            "looser kind dues/payment caller_tries 10 11\n"
            "looser kind dues/payment key required optional\n"
            "neutral kind dues/payment calls  dues/standing\n"
            "stricter kind dues/payment cost (computed) 1 2\n");
  EXPECT_EQ(Changes(after.Build(), before.Build()),
            "neutral manifest version 2 1\n"
            "stricter service dues slots 12 10\n"
            "looser service dues connections 160 170\n"
            "looser service dues shed_status  503\n"
            "looser kind dues/payment importance 7 8\n"
            "stricter kind dues/payment idempotent yes no\n"
            "stricter kind dues/payment deadline_ms 3000 2000\n"
            "looser kind dues/payment attempts 5 6\n"
            "stricter kind dues/payment caller_tries 11 10\n"
            "stricter kind dues/payment key optional required\n"
            "neutral kind dues/payment calls dues/standing \n"
            "looser kind dues/payment cost (computed) 2 1\n");
}

// Guards against a removed kind that is not listed: its callers would get "not found" after the
// change.
TEST(ManifestDiffTest, ListsAddedAndRemovedSections) {
  const Contents contents;
  const Manifest without(1, "riga", {contents.service}, {});
  EXPECT_EQ(Changes(contents.Build(), without), "stricter kind dues/payment  present \n");
  EXPECT_EQ(Changes(without, contents.Build()), "looser kind dues/payment   present\n");
  EXPECT_EQ(Changes(without, without), "");
}

}  // namespace
}  // namespace masticpin
