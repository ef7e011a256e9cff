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

/// What became of an offered document.
enum class OfferResult : std::uint8_t {
  kAccepted,
  /// The same version and content is in force.
  kAlreadyInForce,
  /// A higher version is in force.
  kOlder,
  /// The version in force has another content. Operators have to publish a higher version.
  kConflict,
  /// The validator refused it.
  kInvalid,
  kTooLarge,
};

/// Name for logs.
const char* ToString(OfferResult result);

/// The documents in force on this node. The version of a document never goes down. Not thread-safe.
class DocumentStore {
 public:
  DocumentStore(const Clock& clock, DocumentValidator& validator);

  /// Listeners are called in the order of their addition and must outlive the store.
  void AddListener(DocumentListener& listener);

  /// Puts a document into force if its version is higher than the present one and it is valid.
  /// Version 0 is never accepted.
  OfferResult Offer(std::string_view name,
                    std::uint64_t version,
                    std::string bytes,
                    const DocumentSource& source);

  /// Returns the document in force, or nullptr. Valid until the next Offer().
  const Document* Find(std::string_view name) const;

  /// Version in force, 0 if there is none.
  std::uint64_t VersionOf(std::string_view name) const;

  /// Whether a document is worth fetching: higher than the one in force and not refused before.
  /// `digest` 0 means that it is not known.
  bool ShouldFetch(std::string_view name, std::uint64_t version, std::uint64_t digest) const;

  /// Versions in force, for a digest message.
  void FillVersionDigest(wire::VersionDigest& digest) const;

  /// Offers that named the version in force with another content.
  std::uint64_t Conflicts() const { return this->conflicts; }

  /// Offers that the validator or the size bound refused.
  std::uint64_t Refusals() const { return this->refusals; }

 private:
  OfferResult Refuse(std::string_view name,
                     std::uint64_t version,
                     std::uint64_t digest,
                     const DocumentSource& source,
                     std::string_view reason,
                     OfferResult result);

  struct RefusedVersion {
    std::uint64_t version = 0;
    std::uint64_t digest = 0;
  };

  const Clock& clock;
  DocumentValidator& validator;
  std::vector<DocumentListener*> listeners;
  std::map<std::string, Document, std::less<>> documents;
  // The last refused version of each document, so that it is not fetched again and again.
  std::map<std::string, RefusedVersion, std::less<>> refused;
  std::uint64_t conflicts = 0;
  std::uint64_t refusals = 0;
};

}  // namespace masticpin
