#include "sidecar/tcp_connection_state.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>

namespace masticpin {
namespace {

std::optional<tcp_info> ReadTcpInfo(boost::asio::ip::tcp::socket& socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (!socket.is_open() ||
      getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return std::nullopt;
  }
  return info;
}

}  // namespace

std::size_t UnacknowledgedBytes(boost::asio::ip::tcp::socket& socket) {
  int bytes = 0;
  // The call fails only if the socket is closed.
  if (!socket.is_open() || ioctl(socket.native_handle(), SIOCOUTQ, &bytes) != 0 || bytes < 0) {
    return 0;
  }
  return static_cast<std::size_t>(bytes);
}

std::optional<bool> HasAcknowledgedAllSegments(boost::asio::ip::tcp::socket& socket) {
  const std::optional<tcp_info> info = ReadTcpInfo(socket);
  if (!info || info->tcpi_state != TCP_ESTABLISHED) {
    return std::nullopt;
  }
  return info->tcpi_unacked == 0;
}

bool IsEndedInOrder(boost::asio::ip::tcp::socket& socket) {
  const std::optional<tcp_info> info = ReadTcpInfo(socket);
  return info && info->tcpi_state == TCP_CLOSE_WAIT;
}

void CloseAndDiscard(boost::asio::ip::tcp::socket& socket) {
  boost::system::error_code ignored;  // The connection is closed even if this fails.
  // A reset is sent only once. If all bytes have arrived, the end of the stream, which the kernel
  // repeats until it arrives as well, is the better notice.
  if (UnacknowledgedBytes(socket) > 0) {
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  }
  socket.close(ignored);
}

bool IsClosedByRemote(boost::asio::ip::tcp::socket& socket) {
  if (!socket.is_open()) {
    return true;
  }
  pollfd state{socket.native_handle(), POLLRDHUP, 0};
  return poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

}  // namespace masticpin
