#pragma once

#include <string>

namespace masticpin {

/// One header field as it was received.
struct HttpField {
  std::string name;
  std::string value;
};

}  // namespace masticpin
