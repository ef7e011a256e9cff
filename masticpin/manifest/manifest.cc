#include "masticpin/manifest/manifest.h"

#include <algorithm>
#include <cassert>
#include <tuple>
#include <utility>

namespace masticpin {
namespace {

std::tuple<std::string_view, std::string_view> KindSortKey(const KindSpec& kind) {
  return {kind.service, kind.name};
}

}  // namespace

Manifest::Manifest(std::uint64_t version,
                   std::string site,
                   std::vector<ServiceSpec> services,
                   std::vector<KindSpec> kinds)
    : version(version),
      site(std::move(site)),
      services(std::move(services)),
      kinds(std::move(kinds)) {
  std::sort(this->services.begin(), this->services.end(),
            [](const ServiceSpec& a, const ServiceSpec& b) { return a.name < b.name; });
  std::sort(this->kinds.begin(), this->kinds.end(),
            [](const KindSpec& a, const KindSpec& b) { return KindSortKey(a) < KindSortKey(b); });
  assert(std::adjacent_find(this->services.begin(), this->services.end(),
                            [](const ServiceSpec& a, const ServiceSpec& b) {
                              return a.name == b.name;
                            }) == this->services.end());
  assert(std::adjacent_find(this->kinds.begin(), this->kinds.end(),
                            [](const KindSpec& a, const KindSpec& b) {
                              return KindSortKey(a) == KindSortKey(b);
                            }) == this->kinds.end());
  for (const KindSpec& kind : this->kinds) {
    this->max_deadline = std::max(this->max_deadline, kind.deadline);
  }
}

const ServiceSpec* Manifest::FindService(std::string_view service) const {
  const auto found = std::lower_bound(
      this->services.begin(), this->services.end(), service,
      [](const ServiceSpec& spec, std::string_view name) { return spec.name < name; });
  return found != this->services.end() && found->name == service ? &*found : nullptr;
}

const KindSpec* Manifest::FindKind(std::string_view service, std::string_view kind) const {
  const std::tuple<std::string_view, std::string_view> wanted{service, kind};
  const auto found = std::lower_bound(
      this->kinds.begin(), this->kinds.end(), wanted,
      [](const KindSpec& spec, const auto& key) { return KindSortKey(spec) < key; });
  return found != this->kinds.end() && KindSortKey(*found) == wanted ? &*found : nullptr;
}

}  // namespace masticpin
