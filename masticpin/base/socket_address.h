#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace masticpin {

/// An IP address and a port.
struct SocketAddress {
  /// IPv4 in dotted form or IPv6 without brackets.
  std::string ip;
  std::uint16_t port = 0;

  bool operator==(const SocketAddress&) const = default;

  /// Parses "192.0.2.1:80" or "[2001:db8::1]:80". Returns nullopt for host names, for the addresses
  /// 0.0.0.0 and ::, which no other process can connect to, and for port 0.
  static std::optional<SocketAddress> Parse(std::string_view text);

  /// Returns the form that Parse() accepts.
  std::string ToString() const;

  /// Returns true for 127.0.0.0/8 and ::1.
  bool IsLoopback() const;
};

}  // namespace masticpin
