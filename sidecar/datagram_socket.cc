#include "sidecar/datagram_socket.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/address.hpp>

namespace masticpin {

DatagramSocket::DatagramSocket(boost::asio::io_context& loop, DatagramSocketObserver& observer)
    : socket(loop), observer(&observer) {}

std::string DatagramSocket::Open(const SocketAddress& address) {
  const boost::asio::ip::udp::endpoint endpoint(boost::asio::ip::make_address(address.ip),
                                                address.port);
  boost::system::error_code error;
  this->socket.open(endpoint.protocol(), error);
  if (!error) {
    this->socket.bind(endpoint, error);
  }
  if (!error) {
    this->socket.non_blocking(true, error);
  }
  if (error) {
    return "cannot receive datagrams at " + address.ToString() + ": " + error.message();
  }
  this->Receive();
  return "";
}

void DatagramSocket::Send(std::string_view bytes, const boost::asio::ip::udp::endpoint& receiver) {
  // A lost datagram is noticed by the answer that does not come.
  boost::system::error_code ignored;
  this->socket.send_to(boost::asio::buffer(bytes.data(), bytes.size()), receiver, 0, ignored);
}

void DatagramSocket::Close() {
  this->observer = nullptr;
  boost::system::error_code ignored;  // The socket is closed even if this fails.
  this->socket.close(ignored);
}

void DatagramSocket::Receive() {
  this->socket.async_receive_from(
      boost::asio::buffer(this->buffer), this->sender,
      [self = Ref<DatagramSocket>(this)](const boost::system::error_code& error,
                                         std::size_t bytes) {
        if (error == boost::asio::error::operation_aborted || self->observer == nullptr) {
          return;  // The socket was closed.
        }
        // An error reports an earlier datagram to a closed port.
        if (!error) {
          self->observer->OnDatagram(std::string_view(self->buffer.data(), bytes), self->sender);
        }
        if (self->observer != nullptr) {
          self->Receive();
        }
      });
}

}  // namespace masticpin
