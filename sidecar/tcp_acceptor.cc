#include "sidecar/tcp_acceptor.h"

#include <spdlog/spdlog.h>

#include <boost/asio/error.hpp>
#include <utility>

#include "sidecar/tcp_address.h"

namespace masticpin {
namespace {

/// Delay after accept() failed, usually because the process has no free file descriptor.
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(50);

/// Maximum number of connections that wait to be accepted; all nodes of a large fleet connect at
/// once after a restart of the fleet. If the queue is full, the kernel drops the SYN, which is
/// retransmitted only after a second.
constexpr int kBacklog = 1024;

}  // namespace

TcpAcceptor::TcpAcceptor(boost::asio::io_context& loop,
                         TcpAcceptorObserver& observer,
                         const Clock& clock,
                         TimerService& timers)
    : acceptor(loop), observer(observer), clock(clock), timers(timers) {}

std::string TcpAcceptor::Listen(const SocketAddress& address) {
  const std::string error = OpenAcceptor(this->acceptor, address, kBacklog);
  if (error.empty()) {
    this->Accept();
  }
  return error;
}

void TcpAcceptor::Stop() {
  this->timers.Cancel(*this);
  if (!this->acceptor.is_open()) {
    return;
  }
  // Closing the socket resets the connections that wait to be accepted, although their peers may
  // already have sent requests.
  boost::system::error_code error;
  this->acceptor.non_blocking(true, error);
  while (!error) {
    boost::asio::ip::tcp::socket socket(this->acceptor.get_executor());
    this->acceptor.accept(socket, error);
    if (!error) {
      this->observer.OnConnection(std::move(socket));
    }
  }
  boost::system::error_code ignored;  // Nothing can be done if the socket fails to close.
  this->acceptor.close(ignored);
}

void TcpAcceptor::OnTimer(TimePoint) {
  this->Accept();
}

void TcpAcceptor::Accept() {
  this->acceptor.async_accept(
      [this](const boost::system::error_code& error, boost::asio::ip::tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted) {
          return;  // The acceptor was stopped or destroyed.
        }
        if (error) {
          spdlog::warn("event=accept_failed reason=\"{}\"", error.message());
          this->timers.Schedule(*this, this->clock.Now() + kAcceptRetryDelay);
          return;
        }
        this->observer.OnConnection(std::move(socket));
        this->Accept();
      });
}

}  // namespace masticpin
