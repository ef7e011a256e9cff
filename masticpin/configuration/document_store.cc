#include "masticpin/configuration/document_store.h"

#include <utility>

namespace masticpin {

const char* ToString(OfferResult result) {
  switch (result) {
    case OfferResult::kAccepted:
      return "accepted";
    case OfferResult::kAlreadyInForce:
      return "already_in_force";
    case OfferResult::kOlder:
      return "older";
    case OfferResult::kConflict:
      return "conflict";
    case OfferResult::kInvalid:
      return "invalid";
    case OfferResult::kTooLarge:
      return "too_large";
  }
  return "unknown";
}

DocumentStore::DocumentStore(const Clock& clock, DocumentValidator& validator)
    : clock(clock), validator(validator) {}

void DocumentStore::AddListener(DocumentListener& listener) {
  this->listeners.push_back(&listener);
}

OfferResult DocumentStore::Offer(std::string_view name,
                                 std::uint64_t version,
                                 std::string bytes,
                                 const DocumentSource& source) {
  const Document* current = this->Find(name);
  if (version == 0 || (current != nullptr && version < current->version)) {
    return OfferResult::kOlder;
  }
  if (bytes.size() > kMaxDocumentSize) {
    ++this->rejections;
    return this->Reject(name, version, 0, source, "larger than 1 MiB", OfferResult::kTooLarge);
  }
  const std::uint64_t digest = ComputeDigest(bytes);
  if (current != nullptr && version == current->version) {
    if (digest == current->digest) {
      return OfferResult::kAlreadyInForce;
    }
    ++this->conflicts;
    return this->Reject(name, version, digest, source, "the current version has different content",
                        OfferResult::kConflict);
  }
  const std::string reason = this->validator.Validate(name, version, bytes);
  if (!reason.empty()) {
    ++this->rejections;
    return this->Reject(name, version, digest, source, reason, OfferResult::kInvalid);
  }
  Document& document = this->documents[std::string(name)];
  document.name = name;
  document.version = version;
  document.digest = digest;
  document.bytes = std::make_shared<const std::string>(std::move(bytes));
  document.source = source;
  document.accepted_at = this->clock.Now();
  for (DocumentListener* listener : this->listeners) {
    listener->OnDocument(document);
  }
  return OfferResult::kAccepted;
}

OfferResult DocumentStore::Reject(std::string_view name,
                                  std::uint64_t version,
                                  std::uint64_t digest,
                                  const DocumentSource& source,
                                  std::string_view reason,
                                  OfferResult result) {
  this->rejected[std::string(name)] = RejectedVersion{version, digest};
  for (DocumentListener* listener : this->listeners) {
    listener->OnRejected(name, version, source, reason);
  }
  return result;
}

const Document* DocumentStore::Find(std::string_view name) const {
  const auto found = this->documents.find(name);
  return found == this->documents.end() ? nullptr : &found->second;
}

std::uint64_t DocumentStore::VersionOf(std::string_view name) const {
  const Document* document = this->Find(name);
  return document == nullptr ? 0 : document->version;
}

bool DocumentStore::ShouldFetch(std::string_view name,
                                std::uint64_t version,
                                std::uint64_t digest) const {
  if (version <= this->VersionOf(name)) {
    return false;
  }
  const auto found = this->rejected.find(name);
  return found == this->rejected.end() || found->second.version != version ||
         (digest != 0 && found->second.digest != 0 && found->second.digest != digest);
}

void DocumentStore::FillVersionDigest(wire::VersionDigest& digest) const {
  for (const auto& [name, document] : this->documents) {
    wire::DocumentVersion& entry = *digest.add_documents();
    entry.set_name(name);
    entry.set_version(document.version);
    entry.set_digest(document.digest);
  }
}

}  // namespace masticpin
