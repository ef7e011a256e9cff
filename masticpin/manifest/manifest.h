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

/// One validated manifest. Immutable, so that threads share it without a lock.
class Manifest : public RefCounted<Manifest> {
 public:
  /// Takes valid contents (see ManifestParser); names must be unique. The order does not matter.
  Manifest(std::uint64_t version,
           std::string site,
           std::vector<ServiceSpec> services,
           std::vector<KindSpec> kinds);

  /// Version of the document; a node accepts only higher ones than the one in force.
  std::uint64_t Version() const { return this->version; }

  /// Name of the site that the manifest is written for.
  const std::string& Site() const { return this->site; }

  /// Returns nullptr when there is no such service. The pointer lives as long as the manifest.
  const ServiceSpec* FindService(std::string_view service) const;

  /// Returns nullptr when there is no such kind. The pointer lives as long as the manifest.
  const KindSpec* FindKind(std::string_view service, std::string_view kind) const;

  /// All services, ordered by name.
  std::span<const ServiceSpec> Services() const { return this->services; }

  /// All kinds, ordered by service and name.
  std::span<const KindSpec> Kinds() const { return this->kinds; }

  /// The longest deadline of all kinds; 0 without kinds.
  Duration MaxDeadline() const { return this->max_deadline; }

 private:
  std::uint64_t version;
  std::string site;
  std::vector<ServiceSpec> services;
  std::vector<KindSpec> kinds;
  Duration max_deadline{};
};

}  // namespace masticpin
