#include "sidecar/testing/stalled_host.h"

#include <boost/asio/write.hpp>

#include "sidecar/tcp_address.h"

namespace masticpin {
namespace {

/// Far below the size of the requests that tests send.
constexpr int kReceiveBufferBytes = 4096;

}  // namespace

StalledHost::StalledHost(boost::asio::io_context& loop, const std::string& ip, std::uint16_t port)
    : acceptor(loop), socket(loop) {
  const boost::asio::ip::tcp::endpoint endpoint = ToEndpoint({ip, port});
  this->acceptor.open(endpoint.protocol());
  this->acceptor.set_option(boost::asio::socket_base::reuse_address(true));
  // Accepted sockets inherit the size.
  this->acceptor.set_option(boost::asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
  this->acceptor.bind(endpoint);
  this->acceptor.listen();
  this->address = {ip, this->acceptor.local_endpoint().port()};
  this->acceptor.async_accept(
      [this](const boost::system::error_code& error, boost::asio::ip::tcp::socket accepted) {
        if (!error) {
          this->socket = std::move(accepted);
        }
      });
}

void StalledHost::Send(const std::string& bytes) {
  boost::system::error_code ignored;  // The client may have closed the connection.
  boost::asio::write(this->socket, boost::asio::buffer(bytes), ignored);
}

void StalledHost::Resume() {
  this->Read();
}

void StalledHost::Read() {
  this->socket.async_read_some(boost::asio::buffer(this->buffer),
                               [this](const boost::system::error_code& error, std::size_t bytes) {
                                 if (error) {
                                   this->closed_by_peer =
                                       error != boost::asio::error::operation_aborted;
                                   return;
                                 }
                                 this->received.append(this->buffer, bytes);
                                 this->Read();
                               });
}

}  // namespace masticpin
