#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <optional>

#include "masticpin/base/time.h"

namespace masticpin {

/// A stopping node waits for at most this long until the remote host has acknowledged an answer: if
/// the process exits with unread bytes in the socket, the kernel discards what is under way. The
/// host may be cut off, so the wait is limited.
constexpr Duration kMaxDeliveryWait = std::chrono::milliseconds(1000);

/// Returns the number of bytes that were written to the socket and that the remote host has not
/// acknowledged; 0 if the socket is closed. The remote application may not have read acknowledged
/// bytes yet.
std::size_t UnacknowledgedBytes(boost::asio::ip::tcp::socket& socket);

/// Returns whether the remote host has acknowledged all segments that were sent to it. Bytes beyond
/// them wait for its receive window: a process that does not read closes the window, while its host
/// goes on answering. Returns std::nullopt if the kernel does not tell.
std::optional<bool> HasAcknowledgedAllSegments(boost::asio::ip::tcp::socket& socket);

/// Closes the socket. Bytes that the remote host has not acknowledged are discarded, by a reset of
/// the connection; after an ordinary close, the kernel would go on delivering them.
void CloseAndDiscard(boost::asio::ip::tcp::socket& socket);

/// Returns whether the remote side has ended its stream and has not reset the connection. The
/// kernel reports a reset only to the first call that asks: if that is a write, the read after it
/// returns the end of the stream.
bool IsEndedInOrder(boost::asio::ip::tcp::socket& socket);

/// Returns whether the remote side has closed or reset the connection, even if bytes that it sent
/// before are still unread.
bool IsClosedByRemote(boost::asio::ip::tcp::socket& socket);

}  // namespace masticpin
