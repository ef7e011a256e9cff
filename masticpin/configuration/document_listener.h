#pragma once

#include "masticpin/configuration/document.h"

namespace masticpin {

/// Is told when a document comes into force.
class DocumentListener {
 public:
  virtual ~DocumentListener() = default;

  /// Must not offer another document from within the call.
  virtual void OnDocument(const Document& document) = 0;

  /// An offered document was refused; `reason` is the text for the log. Older versions and the one
  /// in force are not reported, because every stale read and every digest would be.
  virtual void OnRefused(std::string_view /*name*/,
                         std::uint64_t /*version*/,
                         const DocumentSource& /*source*/,
                         std::string_view /*reason*/) {}
};

}  // namespace masticpin
