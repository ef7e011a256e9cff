#pragma once

#include <string>

namespace masticpin {

/// One header field as received.
struct HttpField {
  std::string name;
  std::string value;
};

}  // namespace masticpin
