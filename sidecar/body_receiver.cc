#include "sidecar/body_receiver.h"

#include <cassert>
#include <utility>

namespace masticpin {

BodyReceiver::BodyReceiver(std::size_t bytes, BodyReservation memory)
    : expected_bytes(bytes), memory(std::move(memory)) {
  assert(this->memory.Bytes() >= bytes);
  this->bytes.reserve(bytes);
}

BodyReceiver::Result BodyReceiver::Append(std::string_view part) {
  if (part.size() > this->expected_bytes - this->bytes.size()) {
    return Result::kTooLong;
  }
  this->bytes.append(part);
  return this->bytes.size() == this->expected_bytes ? Result::kComplete : Result::kIncomplete;
}

Ref<const MessageBody> BodyReceiver::TakeBody() {
  assert(this->bytes.size() == this->expected_bytes);
  return Ref<const MessageBody>(new MessageBody(std::move(this->bytes), std::move(this->memory)));
}

std::string BodyReceiver::TakeBytes() {
  assert(this->bytes.size() == this->expected_bytes);
  this->memory.Release();
  return std::move(this->bytes);
}

}  // namespace masticpin
