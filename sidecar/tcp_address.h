#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "masticpin/base/socket_address.h"

namespace masticpin {

/// Returns the endpoint of an address, which is valid because SocketAddress::Parse() checked it.
boost::asio::ip::tcp::endpoint ToEndpoint(const SocketAddress& address);

/// Opens, binds and starts a listening socket. Returns an error text, or an empty text.
std::string OpenAcceptor(boost::asio::ip::tcp::acceptor& acceptor,
                         const SocketAddress& address,
                         int backlog);

/// Makes the kernel close a connection whose other side has gone silent: after about three seconds
/// without a sign of life, or of unacknowledged data.
void EnableDeadPeerDetection(boost::asio::ip::tcp::socket& socket);

}  // namespace masticpin
