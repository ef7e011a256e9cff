#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "masticpin/base/clock.h"
#include "masticpin/configuration/configuration.pb.h"
#include "masticpin/configuration/document.h"
#include "masticpin/configuration/document_listener.h"
#include "masticpin/configuration/document_validator.h"

namespace masticpin {

/// Result of offering a document to the store.
enum class OfferResult : std::uint8_t {
  kAccepted,
  /// The same version with the same content is already current.
  kAlreadyInForce,
  /// A higher version is current, or the offered version is 0.
  kOlder,
  /// The current version has the same number but different content. Operators have to publish a
  /// higher version.
  kConflict,
  /// The validator rejected it.
  kInvalid,
  kTooLarge,
};

/// Returns the name for logs.
const char* ToString(OfferResult result);

/// The current documents of this node. The version of a document never decreases. Not thread-safe.
class DocumentStore {
 public:
  DocumentStore(const Clock& clock, DocumentValidator& validator);

  /// Listeners are called in the order in which they were added and must outlive the store.
  void AddListener(DocumentListener& listener);

  /// Makes a document current if it is valid and its version is higher than the current one.
  /// Version 0 is never accepted.
  OfferResult Offer(std::string_view name,
                    std::uint64_t version,
                    std::string bytes,
                    const DocumentSource& source);

  /// Returns the current document, or nullptr if there is none. The pointer is valid until the next
  /// Offer().
  const Document* Find(std::string_view name) const;

  /// Returns the current version, or 0 if there is none.
  std::uint64_t VersionOf(std::string_view name) const;

  /// Whether a document is worth fetching: its version is higher than the current one and has not
  /// been rejected before. A `digest` of 0 means that the digest is unknown.
  bool ShouldFetch(std::string_view name, std::uint64_t version, std::uint64_t digest) const;

  /// Adds the current versions to a digest message.
  void FillVersionDigest(wire::VersionDigest& digest) const;

  /// Number of offers of the current version with different content.
  std::uint64_t Conflicts() const { return this->conflicts; }

  /// Number of offers that the validator or the size limit rejected.
  std::uint64_t Rejections() const { return this->rejections; }

 private:
  OfferResult Reject(std::string_view name,
                     std::uint64_t version,
                     std::uint64_t digest,
                     const DocumentSource& source,
                     std::string_view reason,
                     OfferResult result);

  struct RejectedVersion {
    std::uint64_t version = 0;
    std::uint64_t digest = 0;
  };

  const Clock& clock;
  DocumentValidator& validator;
  std::vector<DocumentListener*> listeners;
  std::map<std::string, Document, std::less<>> documents;
  // The last rejected version of each document, so that it is not fetched repeatedly.
  std::map<std::string, RejectedVersion, std::less<>> rejected;
  std::uint64_t conflicts = 0;
  std::uint64_t rejections = 0;
};

}  // namespace masticpin
