#include "sidecar/tcp_connection_state.h"

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>

namespace masticpin {

std::size_t UnacknowledgedBytes(boost::asio::ip::tcp::socket& socket) {
  int bytes = 0;
  // The call fails only if the socket is closed.
  if (!socket.is_open() || ioctl(socket.native_handle(), SIOCOUTQ, &bytes) != 0 || bytes < 0) {
    return 0;
  }
  return static_cast<std::size_t>(bytes);
}

bool IsClosedByRemote(boost::asio::ip::tcp::socket& socket) {
  if (!socket.is_open()) {
    return true;
  }
  pollfd state{socket.native_handle(), POLLRDHUP, 0};
  return poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

}  // namespace masticpin
