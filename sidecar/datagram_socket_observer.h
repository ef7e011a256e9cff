#pragma once

#include <boost/asio/ip/udp.hpp>
#include <string_view>

namespace masticpin {

/// Receives the datagrams of a DatagramSocket.
class DatagramSocketObserver {
 public:
  virtual ~DatagramSocketObserver() = default;

  virtual void OnDatagram(std::string_view bytes, const boost::asio::ip::udp::endpoint& sender) = 0;
};

}  // namespace masticpin
