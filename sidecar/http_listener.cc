#include "sidecar/http_listener.h"

#include <algorithm>
#include <utility>

namespace masticpin {

HttpListener::HttpListener(boost::asio::io_context& loop,
                           HttpHandler& handler,
                           BodyMemory& body_memory,
                           const Clock& clock,
                           TimerService& timers)
    : acceptor(loop, *this, clock, timers),
      handler(handler),
      body_memory(body_memory),
      clock(clock),
      timers(timers) {}

HttpListener::~HttpListener() {
  while (!this->sessions.empty()) {
    this->sessions.front().Close("process exits");
  }
}

bool HttpListener::IsBusy() {
  return std::any_of(this->sessions.begin(), this->sessions.end(),
                     [](HttpSession& session) { return session.IsBusy(); });
}

void HttpListener::OnConnection(boost::asio::ip::tcp::socket socket) {
  boost::system::error_code ignored;  // The connection works without the option.
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  const Ref<HttpSession> session(new HttpSession(std::move(socket), this->handler,
                                                 this->body_memory, this->clock, this->timers));
  this->sessions.push_back(*session);
  session->Start();
}

}  // namespace masticpin
