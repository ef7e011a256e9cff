#pragma once

#include <compare>
#include <string>

namespace masticpin {

/// Identifies a request kind of a service, written "service/name" in the manifest.
struct KindRef {
  std::string service;
  std::string name;

  // clang-tidy 14 mistakes the literal 0 in the defaulted operator for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const KindRef&) const = default;
};

}  // namespace masticpin
