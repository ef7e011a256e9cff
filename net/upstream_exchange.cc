#include "net/upstream_exchange.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace masticpin {

UpstreamExchange::UpstreamExchange(boost::asio::io_context& loop, HttpClient& client, HttpCall call)
    : loop(loop), client(client), call(std::move(call)) {}

UpstreamExchange::~UpstreamExchange() = default;

void UpstreamExchange::Run(TimePoint deadline) {
  boost::asio::post(this->loop, [self = Ref<UpstreamExchange>(this)] { self->Start(); });
  std::unique_lock lock(this->mutex);
  if (this->ended_condition.wait_until(lock, deadline, [this] { return this->ended; })) {
    return;
  }
  lock.unlock();
  this->Abort(ErrorKind::kDeadlineExceeded);
}

void UpstreamExchange::Abort(ErrorKind kind) {
  {
    const std::lock_guard lock(this->mutex);
    if (this->ended) {
      return;
    }
    this->ended = true;
    this->error = kind;
  }
  this->ended_condition.notify_all();
  boost::asio::post(this->loop, [self = Ref<UpstreamExchange>(this)] { self->CloseConnection(); });
}

void UpstreamExchange::Start() {
  {
    const std::lock_guard lock(this->mutex);
    if (this->ended) {
      return;
    }
  }
  // The client holds a plain reference to this observer while the call runs.
  intrusive_ptr_add_ref(this);
  this->connection = this->client.Call(std::move(this->call), *this);
}

void UpstreamExchange::CloseConnection() {
  if (this->connection == nullptr) {
    return;
  }
  this->connection->Close();
  this->connection.reset();
  intrusive_ptr_release(this);
}

void UpstreamExchange::OnResponse(HttpResponse new_response) {
  {
    const std::lock_guard lock(this->mutex);
    if (!this->ended) {
      this->ended = true;
      this->response = std::move(new_response);
    }
  }
  this->OnCallEnded();
}

void UpstreamExchange::OnCallFailed(ErrorKind kind, std::string_view reason) {
  {
    const std::lock_guard lock(this->mutex);
    if (!this->ended) {
      this->ended = true;
      this->error = kind;
      this->error_reason = std::string(reason);
    }
  }
  this->OnCallEnded();
}

void UpstreamExchange::OnCallEnded() {
  this->ended_condition.notify_all();
  this->connection.reset();
  intrusive_ptr_release(this);
}

}  // namespace masticpin
