#pragma once

#include <cstdlib>
#include <string>

namespace masticpin {

/// An IP address and a port.
struct Address {
  std::string host;
  int port = 0;

  /// Takes "ip:port" apart; the settings check has made sure of the form.
  static Address Parse(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
      return {text, 0};
    }
    return {text.substr(0, colon), std::atoi(text.c_str() + colon + 1)};
  }
};

}  // namespace masticpin
