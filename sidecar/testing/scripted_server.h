#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "masticpin/base/socket_address.h"

namespace masticpin {

/// A raw TCP server for tests. It parses the requests of each connection and lets the test respond
/// with arbitrary bytes, so that it can imitate any faulty server.
class ScriptedServer {
 public:
  class Connection : public std::enable_shared_from_this<Connection> {
   public:
    explicit Connection(boost::asio::ip::tcp::socket socket) : socket(std::move(socket)) {}

    /// Sends the bytes unchanged.
    void Send(const std::string& bytes);
    /// Sends the header and the body without blocking, while the node may read slowly.
    void SendAsync(std::string header, const std::shared_ptr<const std::string>& body);
    /// Sends `block` again and again until the node closes the connection.
    void SendEndlessly(std::string block);
    /// Number of bytes that SendEndlessly() has sent.
    std::size_t EndlessBytes() const { return this->endless_bytes; }

    /// Ends the stream to the node; the connection stays open.
    void ShutdownSend();
    /// Closes the connection gracefully, or with a reset.
    void Close();
    void Reset();

    bool IsClosedByPeer() const { return this->closed_by_peer; }
    /// Received bytes that do not form a complete request yet.
    std::string& Received() { return this->received; }

   private:
    friend class ScriptedServer;

    void SendBlock();

    boost::asio::ip::tcp::socket socket;
    std::string received;
    std::string endless_block;
    std::size_t endless_bytes = 0;
    bool closed_by_peer = false;
    char buffer[4096];
  };

  /// Called for each complete request (header and a body of Content-Length bytes).
  using Handler = std::function<void(Connection&, const std::string& request)>;

  /// Listens at `port` of `ip`, or at a free port if `port` is 0.
  ScriptedServer(boost::asio::io_context& loop,
                 const std::string& ip,
                 Handler handler,
                 std::uint16_t port = 0);

  const SocketAddress& Address() const { return this->address; }

  /// All requests received, in order.
  const std::vector<std::string>& Requests() const { return this->requests; }
  const std::vector<std::shared_ptr<Connection>>& Connections() const { return this->connections; }

  /// Stops accepting connections.
  void StopListening();

 private:
  void Accept();
  void Read(const std::shared_ptr<Connection>& connection);

  boost::asio::ip::tcp::acceptor acceptor;
  Handler handler;
  SocketAddress address;
  std::vector<std::string> requests;
  std::vector<std::shared_ptr<Connection>> connections;
};

/// Returns the value of a header field of a request or response, or an empty string.
std::string FieldOf(const std::string& message, const std::string& name);

}  // namespace masticpin
