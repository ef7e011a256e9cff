#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "masticpin/base/time.h"

namespace masticpin {

/// The configuration service holds values up to 1 MB; larger documents are refused.
inline constexpr std::size_t kMaxDocumentSize = std::size_t{1} << 20;

enum class DocumentSourceKind : std::uint8_t { kService, kPeer };

/// Where a document came from, for the status page and logs.
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

/// Hash by which nodes compare the contents of one version.
std::uint64_t ComputeDigest(std::string_view bytes);

}  // namespace masticpin
