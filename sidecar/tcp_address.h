#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "masticpin/base/socket_address.h"

namespace masticpin {

/// Returns the endpoint of an address. The address is valid, because SocketAddress::Parse() checked
/// it.
boost::asio::ip::tcp::endpoint ToEndpoint(const SocketAddress& address);

/// Opens, binds and starts a listening socket. Returns an error message, or an empty string on
/// success.
std::string OpenAcceptor(boost::asio::ip::tcp::acceptor& acceptor,
                         const SocketAddress& address,
                         int backlog);

/// Makes the kernel close a connection whose remote side has become silent: after about three
/// seconds without a response to keep-alive probes or with unacknowledged data.
void EnableDeadPeerDetection(boost::asio::ip::tcp::socket& socket);

}  // namespace masticpin
