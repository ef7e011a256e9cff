#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "masticpin/base/time.h"

namespace masticpin {

/// The configuration service stores values of up to 1 MB; larger documents are rejected.
inline constexpr std::size_t kMaxDocumentSize = std::size_t{1} << 20;

enum class DocumentSourceKind : std::uint8_t { kService, kPeer };

/// Where a document was read from, for the status page and logs.
struct DocumentSource {
  DocumentSourceKind kind = DocumentSourceKind::kService;
  /// Name of the peer; empty for the service.
  std::string peer;

  /// "service" or "peer NAME".
  std::string ToString() const;
};

/// One accepted document.
struct Document {
  std::string name;
  std::uint64_t version = 0;
  std::uint64_t digest = 0;
  std::shared_ptr<const std::string> bytes;
  DocumentSource source;
  TimePoint accepted_at{};
};

/// Returns the hash by which nodes compare the contents of a version.
std::uint64_t ComputeDigest(std::string_view bytes);

}  // namespace masticpin
