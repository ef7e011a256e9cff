#include "masticpin/base/socket_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <charconv>

namespace masticpin {

std::optional<SocketAddress> SocketAddress::Parse(std::string_view text) {
  // The port follows the last colon, because IPv6 addresses contain colons.
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  SocketAddress address;
  const std::string_view port = text.substr(colon + 1);
  const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), address.port);
  if (error != std::errc() || end != port.data() + port.size() || address.port == 0) {
    return std::nullopt;
  }

  std::string_view ip = text.substr(0, colon);
  const bool bracketed = ip.starts_with('[') && ip.ends_with(']');
  if (bracketed) {
    ip = ip.substr(1, ip.size() - 2);
  }
  address.ip = ip;
  // inet_pton() reads a C string and would ignore what follows a NUL byte.
  if (address.ip.find('\0') != std::string::npos) {
    return std::nullopt;
  }
  in6_addr binary{};
  const bool valid = inet_pton(bracketed ? AF_INET6 : AF_INET, address.ip.c_str(), &binary) == 1;
  if (!valid || ip == "0.0.0.0" || (bracketed && IN6_IS_ADDR_UNSPECIFIED(&binary))) {
    return std::nullopt;
  }
  return address;
}

std::string SocketAddress::ToString() const {
  const bool ipv6 = this->ip.find(':') != std::string::npos;
  return (ipv6 ? "[" + this->ip + "]" : this->ip) + ":" + std::to_string(this->port);
}

bool SocketAddress::IsLoopback() const {
  in6_addr binary{};
  if (inet_pton(AF_INET6, this->ip.c_str(), &binary) == 1) {
    return IN6_IS_ADDR_LOOPBACK(&binary);
  }
  return this->ip.starts_with("127.");
}

}  // namespace masticpin
