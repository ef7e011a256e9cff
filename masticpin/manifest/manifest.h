#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "masticpin/base/ref_counted.h"
#include "masticpin/base/time.h"
#include "masticpin/manifest/kind_spec.h"
#include "masticpin/manifest/service_spec.h"

namespace masticpin {

/// A validated manifest. Immutable, so threads can share it without a lock.
class Manifest : public RefCounted<Manifest> {
 public:
  /// The contents must be valid (see ManifestParser), with unique names. Their order does not
  /// matter.
  Manifest(std::uint64_t version,
           std::string site,
           std::vector<ServiceSpec> services,
           std::vector<KindSpec> kinds);

  /// Version of the document; a node accepts only versions above its current one.
  std::uint64_t Version() const { return this->version; }

  /// Name of the site for which the manifest was written.
  const std::string& Site() const { return this->site; }

  /// Returns nullptr if there is no such service. The pointer is valid as long as the manifest.
  const ServiceSpec* FindService(std::string_view service) const;

  /// Returns nullptr if there is no such kind. The pointer is valid as long as the manifest.
  const KindSpec* FindKind(std::string_view service, std::string_view kind) const;

  /// All services, ordered by name.
  std::span<const ServiceSpec> Services() const { return this->services; }

  /// All kinds, ordered by service and name.
  std::span<const KindSpec> Kinds() const { return this->kinds; }

  /// The maximum deadline of all kinds; 0 if there are no kinds.
  Duration MaxDeadline() const { return this->max_deadline; }

 private:
  std::uint64_t version;
  std::string site;
  std::vector<ServiceSpec> services;
  std::vector<KindSpec> kinds;
  Duration max_deadline{};
};

}  // namespace masticpin
