#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "masticpin/base/socket_address.h"
#include "masticpin/base/time.h"

namespace masticpin {

/// Returns the endpoint of an address. The address is valid, because SocketAddress::Parse() checked
/// it.
boost::asio::ip::tcp::endpoint ToEndpoint(const SocketAddress& address);

/// Opens, binds and starts a listening socket. Returns an error message, or an empty string on
/// success.
std::string OpenAcceptor(boost::asio::ip::tcp::acceptor& acceptor,
                         const SocketAddress& address,
                         int backlog);

/// Makes the kernel close an idle connection whose remote host has become silent: after about three
/// seconds without a response to keep-alive probes.
void EnableDeadPeerDetection(boost::asio::ip::tcp::socket& socket);

/// Sets the time for which sent data may remain unacknowledged until the kernel closes the
/// connection; 0 for the kernel's default of many minutes. Data that waits for the receive window
/// counts as unacknowledged, also if the remote host responds and only its process does not read.
void SetUserTimeout(boost::asio::ip::tcp::socket& socket, Duration timeout);

}  // namespace masticpin
