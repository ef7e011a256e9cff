#include "net/upstream_call.h"

#include <httplib.h>

namespace masticpin {

void UpstreamCall::Cancel() {
  const std::lock_guard lock(this->mutex);
  this->cancelled = true;
  if (this->client != nullptr) {
    this->client->stop();
  }
}

bool UpstreamCall::IsCancelled() const {
  const std::lock_guard lock(this->mutex);
  return this->cancelled;
}

bool UpstreamCall::Attach(httplib::Client& client) {
  const std::lock_guard lock(this->mutex);
  if (this->cancelled) {
    return false;
  }
  this->client = &client;
  return true;
}

void UpstreamCall::Detach() {
  const std::lock_guard lock(this->mutex);
  this->client = nullptr;
}

}  // namespace masticpin
