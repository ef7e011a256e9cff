#pragma once

#include <string>

namespace masticpin {

/// One entry of the platform's list of instances, which lags behind the actual state.
struct ListedInstance {
  std::string name;
  std::string service;
  std::string zone;
  std::string http_address;
  std::string peer_endpoint;
  bool leaving = false;
};

}  // namespace masticpin
