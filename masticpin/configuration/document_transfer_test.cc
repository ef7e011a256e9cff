#include "masticpin/configuration/document_transfer.h"

#include <gtest/gtest.h>

#include <deque>
#include <functional>

#include "masticpin/testing/fake_clock.h"

namespace masticpin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// One receiver and any number of sources; the test delivers, modifies or drops the pieces.
class DocumentTransferTest : public testing::Test, public DocumentValidator, public EnvelopeSender {
 protected:
  DocumentTransferTest()
      : store(this->clock, *this), transfer(this->store, *this, this->clock, this->clock) {}

  std::string Validate(std::string_view, std::uint64_t, std::string_view) override { return {}; }

  void Send(const InstanceId& to, wire::Envelope envelope) override {
    this->sent.emplace_back(to.name, std::move(envelope));
  }
  void SendToEndpoint(const std::string& /*endpoint*/, wire::Envelope /*envelope*/) override {}

  static InstanceId Id(const std::string& name) { return InstanceId{name, 1}; }

  void Announce(const std::string& source, std::uint64_t version, std::uint64_t digest) {
    wire::DocumentVersion document;
    document.set_name("manifest");
    document.set_version(version);
    document.set_digest(digest);
    this->transfer.Fetch(document, Id(source));
  }

  // Removes and returns the oldest request that was sent; it must be addressed to `source`.
  wire::DocumentRequest TakeRequest(const std::string& source) {
    EXPECT_FALSE(this->sent.empty());
    if (this->sent.empty()) {
      return {};
    }
    EXPECT_EQ(this->sent.front().first, source);
    const wire::DocumentRequest request = this->sent.front().second.document_request();
    this->sent.pop_front();
    return request;
  }

  // Returns the piece that a correct source sends in response to `request`.
  wire::DocumentPiece PieceFor(const wire::DocumentRequest& request,
                               std::uint64_t version,
                               const std::string& content) {
    DocumentStore source_store(this->clock, *this);
    source_store.Offer("manifest", version, content, DocumentSource{});
    class Capture : public EnvelopeSender {
     public:
      void Send(const InstanceId& /*to*/, wire::Envelope envelope) override {
        this->piece = envelope.document_piece();
      }
      void SendToEndpoint(const std::string& /*endpoint*/, wire::Envelope /*envelope*/) override {}
      wire::DocumentPiece piece;
    } capture;
    DocumentTransfer source(source_store, capture, this->clock, this->clock);
    source.OnRequest(Id("receiver"), request);
    return capture.piece;
  }

  // Lets `source` answer all requests until none is outstanding.
  void ServeAll(const std::string& source, std::uint64_t version, const std::string& content) {
    while (!this->sent.empty()) {
      const wire::DocumentRequest request = this->TakeRequest(source);
      this->transfer.OnPiece(Id(source), this->PieceFor(request, version, content));
    }
  }

  static std::string Content(std::size_t size) {
    std::string content(size, ' ');
    for (std::size_t i = 0; i < size; ++i) {
      content[i] = static_cast<char>('a' + i % 23);
    }
    return content;
  }

  FakeClock clock;
  DocumentStore store;
  DocumentTransfer transfer;
  std::deque<std::pair<std::string, wire::Envelope>> sent;
};

// Guards against errors at piece boundaries when a document is assembled, up to the maximum size.
TEST_F(DocumentTransferTest, FetchesDocumentsOfAnySize) {
  std::uint64_t version = 0;
  for (const std::size_t size :
       {std::size_t{0}, std::size_t{1}, std::size_t{65536}, std::size_t{65537}, kMaxDocumentSize}) {
    const std::string content = Content(size);
    this->Announce("a", ++version, ComputeDigest(content));
    this->ServeAll("a", version, content);
    ASSERT_EQ(this->store.VersionOf("manifest"), version);
    EXPECT_EQ(*this->store.Find("manifest")->bytes, content);
    EXPECT_FALSE(this->transfer.IsFetching());
  }
  EXPECT_EQ(this->transfer.RejectedPieces(), 0U);
}

// Guards against a fetch that fails with its source: another source has to continue at the same
// offset.
TEST_F(DocumentTransferTest, AnotherSourceContinuesAfterATimeout) {
  const std::string content = Content(200000);
  this->Announce("a", 1, ComputeDigest(content));
  this->Announce("b", 1, ComputeDigest(content));
  this->transfer.OnPiece(Id("a"), this->PieceFor(this->TakeRequest("a"), 1, content));
  EXPECT_EQ(this->TakeRequest("a").offset(), 65536U);
  this->clock.Advance(milliseconds(200));
  ASSERT_EQ(this->sent.size(), 1U);
  EXPECT_EQ(this->sent.front().second.document_request().offset(), 65536U);
  this->ServeAll("b", 1, content);
  EXPECT_EQ(this->store.VersionOf("manifest"), 1U);
}

// Guards against accepting content that does not match its digest, and against a source of such
// content that prevents the fetch from another source.
TEST_F(DocumentTransferTest, ContentWithAnotherDigestIsRejected) {
  const std::string content = Content(1000);
  this->Announce("a", 1, ComputeDigest(content));
  this->Announce("b", 1, ComputeDigest(content));
  wire::DocumentPiece piece = this->PieceFor(this->TakeRequest("a"), 1, content);
  (*piece.mutable_data())[500] ^= 1;
  this->transfer.OnPiece(Id("a"), piece);
  EXPECT_EQ(this->store.VersionOf("manifest"), 0U);
  EXPECT_EQ(this->transfer.RejectedPieces(), 1U);
  this->ServeAll("b", 1, content);
  EXPECT_EQ(this->store.VersionOf("manifest"), 1U);
}

// Guards against accepting pieces that exceed the size limits, arrive twice or come from a node
// that is not a source.
TEST_F(DocumentTransferTest, RejectedPiecesChangeNothing) {
  const std::string content = Content(100000);
  this->Announce("a", 1, ComputeDigest(content));
  const wire::DocumentRequest first = this->TakeRequest("a");
  const wire::DocumentPiece good = this->PieceFor(first, 1, content);
  wire::DocumentPiece bad = good;
  bad.set_total_size(kMaxDocumentSize + 1);
  this->transfer.OnPiece(Id("a"), bad);
  bad = good;
  bad.set_total_size(100);
  this->transfer.OnPiece(Id("a"), bad);
  bad = good;
  bad.clear_data();
  this->transfer.OnPiece(Id("a"), bad);
  bad = good;
  bad.mutable_document()->set_digest(77);
  this->transfer.OnPiece(Id("a"), bad);
  this->transfer.OnPiece(Id("stranger"), good);
  EXPECT_EQ(this->transfer.RejectedPieces(), 5U);
  EXPECT_TRUE(this->sent.empty());
  this->transfer.OnPiece(Id("a"), good);
  this->transfer.OnPiece(Id("a"), good);
  EXPECT_EQ(this->sent.size(), 1U);
  this->ServeAll("a", 1, content);
  EXPECT_EQ(*this->store.Find("manifest")->bytes, content);
}

// Guards against a fetch that continues with a version which its source has replaced.
TEST_F(DocumentTransferTest, HigherVersionReplacesTheFetch) {
  const std::string old_content = Content(100000);
  const std::string new_content = Content(150000);
  this->Announce("a", 1, ComputeDigest(old_content));
  this->transfer.OnPiece(Id("a"), this->PieceFor(this->TakeRequest("a"), 1, old_content));
  this->ServeAll("a", 2, new_content);
  EXPECT_EQ(this->store.VersionOf("manifest"), 2U);
  EXPECT_EQ(*this->store.Find("manifest")->bytes, new_content);
}

// Guards against a version that only a dead node held and that blocks the fetch of a lower version
// which other nodes hold. Without the fallback it was blocked for 2.4 s (seed 8784 of
// NoRevertInSeededSchedules).
TEST_F(DocumentTransferTest, VersionWithoutASourceIsReplacedByALowerOne) {
  this->Announce("dead", 9, 0);
  this->clock.Advance(milliseconds(390));
  this->Announce("b", 8, ComputeDigest("eight"));
  for (const auto& [to, envelope] : this->sent) {
    EXPECT_EQ(to, "dead");
  }
  this->clock.Advance(milliseconds(20));
  this->sent.clear();
  this->Announce("b", 8, ComputeDigest("eight"));
  this->ServeAll("b", 8, "eight");
  EXPECT_EQ(this->store.VersionOf("manifest"), 8U);
}

// Guards against a fetch that sends requests to a dead source without end.
TEST_F(DocumentTransferTest, FetchEndsWithoutResponses) {
  this->Announce("dead", 9, 0);
  this->clock.Advance(seconds(10));
  EXPECT_FALSE(this->transfer.IsFetching());
  EXPECT_EQ(this->sent.size(), 13U);
}

}  // namespace
}  // namespace masticpin
