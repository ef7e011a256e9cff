#include "sidecar/testing/scripted_server.h"

#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <utility>

#include "sidecar/tcp_address.h"

namespace masticpin {

void ScriptedServer::Connection::Send(const std::string& bytes) {
  boost::system::error_code ignored;  // The node may have closed the connection; tests check that.
  boost::asio::write(this->socket, boost::asio::buffer(bytes), ignored);
}

void ScriptedServer::Connection::SendAsync(std::string header,
                                           const std::shared_ptr<const std::string>& body) {
  const auto kept_header = std::make_shared<const std::string>(std::move(header));
  const std::array<boost::asio::const_buffer, 2> buffers = {boost::asio::buffer(*kept_header),
                                                            boost::asio::buffer(*body)};
  boost::asio::async_write(this->socket, buffers,
                           [self = this->shared_from_this(), kept_header, body](
                               const boost::system::error_code& error, std::size_t) {
                             self->closed_by_peer |= static_cast<bool>(error);
                           });
}

void ScriptedServer::Connection::SendEndlessly(std::string block) {
  this->endless_block = std::move(block);
  this->SendBlock();
}

void ScriptedServer::Connection::SendBlock() {
  boost::asio::async_write(
      this->socket, boost::asio::buffer(this->endless_block),
      [self = this->shared_from_this()](const boost::system::error_code& error, std::size_t bytes) {
        self->endless_bytes += bytes;
        if (error) {
          self->closed_by_peer = true;
        } else {
          self->SendBlock();
        }
      });
}

void ScriptedServer::Connection::ShutdownSend() {
  boost::system::error_code ignored;
  this->socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
}

void ScriptedServer::Connection::Close() {
  boost::system::error_code ignored;
  this->socket.close(ignored);
}

void ScriptedServer::Connection::Reset() {
  boost::system::error_code ignored;
  this->socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  this->socket.close(ignored);
}

ScriptedServer::ScriptedServer(boost::asio::io_context& loop,
                               const std::string& ip,
                               Handler handler,
                               std::uint16_t port)
    : acceptor(loop, {boost::asio::ip::make_address(ip), port}), handler(std::move(handler)) {
  this->address = {ip, this->acceptor.local_endpoint().port()};
  this->Accept();
}

void ScriptedServer::StopListening() {
  boost::system::error_code ignored;
  this->acceptor.close(ignored);
}

void ScriptedServer::Accept() {
  this->acceptor.async_accept(
      [this](const boost::system::error_code& error, boost::asio::ip::tcp::socket socket) {
        if (error) {
          return;
        }
        this->connections.push_back(std::make_shared<Connection>(std::move(socket)));
        this->Read(this->connections.back());
        this->Accept();
      });
}

void ScriptedServer::Read(const std::shared_ptr<Connection>& connection) {
  connection->socket.async_read_some(
      boost::asio::buffer(connection->buffer),
      [this, connection](const boost::system::error_code& error, std::size_t bytes) {
        if (error) {
          connection->closed_by_peer = error != boost::asio::error::operation_aborted;
          return;
        }
        connection->received.append(connection->buffer, bytes);
        while (true) {
          const std::size_t end = connection->received.find("\r\n\r\n");
          if (end == std::string::npos) {
            break;
          }
          const std::string length =
              FieldOf(connection->received.substr(0, end + 4), "Content-Length");
          const std::size_t size = end + 4 + (length.empty() ? 0 : std::stoul(length));
          if (connection->received.size() < size) {
            break;
          }
          const std::string request = connection->received.substr(0, size);
          connection->received.erase(0, size);
          this->requests.push_back(request);
          this->handler(*connection, request);
        }
        if (connection->socket.is_open()) {
          this->Read(connection);
        }
      });
}

std::string FieldOf(const std::string& message, const std::string& name) {
  std::size_t line = message.find("\r\n");
  while (line != std::string::npos && message.compare(line, 4, "\r\n\r\n") != 0) {
    line += 2;
    const std::size_t colon = message.find(':', line);
    const std::size_t end = message.find("\r\n", line);
    if (colon != std::string::npos && colon < end &&
        boost::beast::iequals(std::string_view(message).substr(line, colon - line), name)) {
      const std::size_t value = message.find_first_not_of(' ', colon + 1);
      return message.substr(value, end - value);
    }
    line = end;
  }
  return "";
}

}  // namespace masticpin
