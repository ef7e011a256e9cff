#include "masticpin/configuration/document.h"

#include <xxhash.h>

namespace masticpin {

std::string DocumentSource::ToString() const {
  return this->kind == DocumentSourceKind::kService ? "service" : "peer " + this->peer;
}

std::uint64_t ComputeDigest(std::string_view bytes) {
  return XXH3_64bits(bytes.data(), bytes.size());
}

}  // namespace masticpin
