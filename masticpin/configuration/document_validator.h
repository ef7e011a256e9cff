#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace masticpin {

/// Decides whether a document may become current.
class DocumentValidator {
 public:
  virtual ~DocumentValidator() = default;

  /// Returns an empty string if the document is valid, and otherwise the reason for the log.
  virtual std::string Validate(std::string_view name,
                               std::uint64_t version,
                               std::string_view bytes) = 0;
};

}  // namespace masticpin
