#pragma once

#include "masticpin/configuration/document.h"

namespace masticpin {

/// Is told when a document comes into force.
class DocumentListener {
 public:
  virtual ~DocumentListener() = default;

  /// Must not offer another document from within the call.
  virtual void OnDocument(const Document& document) = 0;
};

}  // namespace masticpin
