#include "masticpin/configuration/document_store.h"

#include <gtest/gtest.h>

#include "masticpin/testing/fake_clock.h"

namespace masticpin {
namespace {

class DocumentStoreTest : public testing::Test, public DocumentValidator, public DocumentListener {
 protected:
  DocumentStoreTest() : store(this->clock, *this) { this->store.AddListener(*this); }

  std::string Validate(std::string_view /*name*/,
                       std::uint64_t /*version*/,
                       std::string_view bytes) override {
    return bytes == "bad" ? "bad content" : "";
  }
  void OnDocument(const Document& document) override { this->in_force.push_back(document.version); }
  void OnRejected(std::string_view /*name*/,
                  std::uint64_t /*version*/,
                  const DocumentSource& /*source*/,
                  std::string_view reason) override {
    this->reasons.emplace_back(reason);
  }

  OfferResult Offer(std::uint64_t version, std::string bytes) {
    return this->store.Offer("manifest", version, std::move(bytes),
                             DocumentSource{DocumentSourceKind::kPeer, "n1"});
  }

  FakeClock clock;
  DocumentStore store;
  std::vector<std::uint64_t> in_force;
  std::vector<std::string> reasons;
};

// Guards against a version that decreases or is reported to listeners twice.
TEST_F(DocumentStoreTest, VersionNeverDecreases) {
  EXPECT_EQ(this->Offer(0, "x"), OfferResult::kOlder);
  EXPECT_EQ(this->Offer(5, "five"), OfferResult::kAccepted);
  EXPECT_EQ(this->Offer(4, "four"), OfferResult::kOlder);
  EXPECT_EQ(this->Offer(5, "five"), OfferResult::kAlreadyInForce);
  EXPECT_EQ(this->Offer(6, "six"), OfferResult::kAccepted);
  EXPECT_EQ(this->in_force, (std::vector<std::uint64_t>{5, 6}));
  EXPECT_TRUE(this->reasons.empty());
  EXPECT_EQ(this->store.Find("manifest")->source.ToString(), "peer n1");
}

// Guards against replacing the content of a version: the content that was accepted first stays
// current.
TEST_F(DocumentStoreTest, DifferentContentOfTheSameVersionIsRejected) {
  EXPECT_EQ(this->Offer(5, "five"), OfferResult::kAccepted);
  EXPECT_EQ(this->Offer(5, "other"), OfferResult::kConflict);
  EXPECT_EQ(*this->store.Find("manifest")->bytes, "five");
  EXPECT_EQ(this->store.Conflicts(), 1U);
  EXPECT_EQ(this->reasons.size(), 1U);
}

// Guards against invalid or oversized documents becoming current, and against fetching them in a
// loop.
TEST_F(DocumentStoreTest, RejectedDocumentIsNotFetchedAgain) {
  EXPECT_EQ(this->Offer(5, "five"), OfferResult::kAccepted);
  EXPECT_TRUE(this->store.ShouldFetch("manifest", 6, 0));
  EXPECT_EQ(this->Offer(6, "bad"), OfferResult::kInvalid);
  EXPECT_EQ(this->store.VersionOf("manifest"), 5U);
  EXPECT_FALSE(this->store.ShouldFetch("manifest", 6, 0));
  EXPECT_FALSE(this->store.ShouldFetch("manifest", 6, ComputeDigest("bad")));
  EXPECT_TRUE(this->store.ShouldFetch("manifest", 6, ComputeDigest("good")));
  EXPECT_EQ(this->Offer(7, std::string(kMaxDocumentSize + 1, 'x')), OfferResult::kTooLarge);
  EXPECT_FALSE(this->store.ShouldFetch("manifest", 7, 1));
  EXPECT_TRUE(this->store.ShouldFetch("manifest", 8, 0));
  EXPECT_FALSE(this->store.ShouldFetch("manifest", 5, 0));
}

}  // namespace
}  // namespace masticpin
