#pragma once

#include <compare>
#include <string>

namespace masticpin {

/// Names one request kind of one service, written "service/name" in the manifest.
struct KindRef {
  std::string service;
  std::string name;

  auto operator<=>(const KindRef&) const = default;
};

}  // namespace masticpin
