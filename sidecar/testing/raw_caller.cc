#include "sidecar/testing/raw_caller.h"

#include <boost/asio/write.hpp>

#include "sidecar/tcp_address.h"
#include "sidecar/testing/scripted_server.h"

namespace masticpin {

RawCaller::RawCaller(boost::asio::io_context& loop, const SocketAddress& address)
    : state(std::make_shared<State>(loop)) {
  this->state->socket.connect(ToEndpoint(address));
  Read(this->state);
}

void RawCaller::Send(const std::string& bytes) {
  boost::system::error_code ignored;  // The node may have closed the connection; tests check that.
  boost::asio::write(this->state->socket, boost::asio::buffer(bytes), ignored);
}

void RawCaller::Close() {
  boost::system::error_code ignored;
  this->state->socket.close(ignored);
}

int RawCaller::ResponseCount() const {
  int count = 0;
  std::size_t start = 0;
  const std::string& text = this->state->received;
  while (true) {
    const std::size_t end = text.find("\r\n\r\n", start);
    if (end == std::string::npos) {
      return count;
    }
    const std::string length = FieldOf(text.substr(start, end + 4 - start), "Content-Length");
    const std::size_t next = end + 4 + (length.empty() ? 0 : std::stoul(length));
    if (text.size() < next) {
      return count;
    }
    ++count;
    start = next;
  }
}

void RawCaller::Read(const std::shared_ptr<State>& state) {
  state->socket.async_read_some(boost::asio::buffer(state->buffer),
                                [state](const boost::system::error_code& error, std::size_t bytes) {
                                  if (error) {
                                    state->closed_by_peer =
                                        error != boost::asio::error::operation_aborted;
                                    return;
                                  }
                                  state->received.append(state->buffer, bytes);
                                  Read(state);
                                });
}

}  // namespace masticpin
