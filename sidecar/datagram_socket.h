#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstddef>
#include <string>
#include <string_view>

#include "masticpin/base/ref_counted.h"
#include "masticpin/base/socket_address.h"
#include "sidecar/datagram_socket_observer.h"

namespace masticpin {

/// Sends and receives datagrams at one address.
class DatagramSocket : public RefCounted<DatagramSocket> {
 public:
  /// Larger datagrams might be split on their way, and are lost with any of their parts.
  static constexpr std::size_t kMaxBytes = 1200;

  /// `observer` must outlive the socket, or Close() must be called before it is destroyed.
  DatagramSocket(boost::asio::io_context& loop, DatagramSocketObserver& observer);

  /// Returns an error message if the address cannot be bound, otherwise an empty string.
  std::string Open(const SocketAddress& address);

  /// Sends a datagram. It is dropped if the send buffer is full.
  void Send(std::string_view bytes, const boost::asio::ip::udp::endpoint& receiver);

  /// Closes the socket; the observer is not called any more.
  void Close();

 private:
  void Receive();

  boost::asio::ip::udp::socket socket;
  DatagramSocketObserver* observer;
  boost::asio::ip::udp::endpoint sender;
  std::array<char, kMaxBytes> buffer{};
};

}  // namespace masticpin
