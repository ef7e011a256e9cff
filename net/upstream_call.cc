#include "net/upstream_call.h"

#include <utility>

namespace masticpin {

void UpstreamCall::Cancel() {
  Ref<UpstreamExchange> running;
  {
    const std::lock_guard lock(this->mutex);
    this->cancelled = true;
    running = this->exchange;
  }
  if (running != nullptr) {
    running->Abort(ErrorKind::kCancelled);
  }
}

bool UpstreamCall::IsCancelled() const {
  const std::lock_guard lock(this->mutex);
  return this->cancelled;
}

bool UpstreamCall::Attach(Ref<UpstreamExchange> new_exchange) {
  const std::lock_guard lock(this->mutex);
  if (this->cancelled) {
    return false;
  }
  this->exchange = std::move(new_exchange);
  return true;
}

void UpstreamCall::Detach() {
  const std::lock_guard lock(this->mutex);
  this->exchange.reset();
}

}  // namespace masticpin
