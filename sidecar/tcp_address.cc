#include "sidecar/tcp_address.h"

#include <netinet/tcp.h>

#include <boost/asio/ip/address.hpp>

namespace masticpin {
namespace {

/// Idle time before the first keep-alive probe, interval between probes, and number of
/// unacknowledged probes after which the connection is closed. The total must not exceed the 3 s
/// for which the platform tolerates a silent connection.
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;

/// A socket option with an integer value, with the interface that Asio requires.
class TcpOption {
 public:
  TcpOption(int name, int value) : option_name(name), value(value) {}

  template <typename Protocol>
  int level(const Protocol&) const {  // NOLINT(readability-identifier-naming)
    return IPPROTO_TCP;
  }
  template <typename Protocol>
  int name(const Protocol&) const {  // NOLINT(readability-identifier-naming)
    return this->option_name;
  }
  template <typename Protocol>
  const int* data(const Protocol&) const {  // NOLINT(readability-identifier-naming)
    return &this->value;
  }
  template <typename Protocol>
  std::size_t size(const Protocol&) const {  // NOLINT(readability-identifier-naming)
    return sizeof(this->value);
  }

 private:
  int option_name;
  int value;
};

}  // namespace

boost::asio::ip::tcp::endpoint ToEndpoint(const SocketAddress& address) {
  return {boost::asio::ip::make_address(address.ip), address.port};
}

std::string OpenAcceptor(boost::asio::ip::tcp::acceptor& acceptor,
                         const SocketAddress& address,
                         int backlog) {
  boost::system::error_code error;
  const boost::asio::ip::tcp::endpoint endpoint = ToEndpoint(address);
  acceptor.open(endpoint.protocol(), error);
  if (!error) {
    acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    acceptor.bind(endpoint, error);
  }
  if (!error) {
    acceptor.listen(backlog, error);
  }
  return error ? "cannot listen at " + address.ToString() + ": " + error.message() : "";
}

void EnableDeadPeerDetection(boost::asio::ip::tcp::socket& socket) {
  // The options are optional: without them, the timeouts of the requests apply.
  boost::system::error_code ignored;
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  socket.set_option(TcpOption(TCP_KEEPIDLE, kKeepAliveIdleSeconds), ignored);
  socket.set_option(TcpOption(TCP_KEEPINTVL, kKeepAliveIntervalSeconds), ignored);
  socket.set_option(TcpOption(TCP_KEEPCNT, kKeepAliveProbes), ignored);
}

void SetUserTimeout(boost::asio::ip::tcp::socket& socket, Duration timeout) {
  const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count();
  boost::system::error_code ignored;  // Without it, the timeouts of the requests apply.
  socket.set_option(TcpOption(TCP_USER_TIMEOUT, static_cast<int>(milliseconds)), ignored);
}

}  // namespace masticpin
