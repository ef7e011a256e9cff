#pragma once

#include "masticpin/configuration/document.h"

namespace masticpin {

/// Observes a DocumentStore.
class DocumentListener {
 public:
  virtual ~DocumentListener() = default;

  /// Called when a new version of a document has become current. Must not call
  /// DocumentStore::Offer().
  virtual void OnDocument(const Document& document) = 0;

  /// Called when an offered document is rejected; `reason` is the text for the log. Offers of older
  /// versions, and of the current version with the same content, are not reported, because every
  /// stale read and every digest would cause a report.
  virtual void OnRejected(std::string_view /*name*/,
                          std::uint64_t /*version*/,
                          const DocumentSource& /*source*/,
                          std::string_view /*reason*/) {}
};

}  // namespace masticpin
