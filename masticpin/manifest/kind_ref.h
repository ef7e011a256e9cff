#pragma once

#include <compare>
#include <string>

namespace masticpin {

/// Identifies a request kind of a service, written "service/name" in the manifest.
struct KindRef {
  std::string service;
  std::string name;

  // clang-tidy 14 takes the comparison with the literal 0 in the defaulted operator for a pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const KindRef&) const = default;
};

}  // namespace masticpin
