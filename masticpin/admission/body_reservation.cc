#include "masticpin/admission/body_reservation.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace masticpin {

BodyReservation::BodyReservation(BodyReservation&& other) noexcept
    : memory(other.memory), bytes(std::exchange(other.bytes, 0)), share(other.share) {}

BodyReservation& BodyReservation::operator=(BodyReservation&& other) noexcept {
  if (this != &other) {
    this->Release();
    this->memory = other.memory;
    this->bytes = std::exchange(other.bytes, 0);
    this->share = other.share;
  }
  return *this;
}

bool BodyReservation::Grow(std::size_t new_bytes) {
  while (!this->TryGrow(new_bytes)) {
    // What can never fit is no reason to end others.
    if (!this->memory->CouldFit(new_bytes) || !this->memory->Reclaim(new_bytes)) {
      ++this->memory->refusals;
      return false;
    }
  }
  return true;
}

bool BodyReservation::GrowWithBody(std::string& body,
                                   std::optional<std::uint64_t> announced,
                                   std::size_t max_bytes) {
  if (announced) {
    return this->Grow(std::max<std::size_t>(body.size(), *announced));
  }
  if (body.size() <= this->memory->MaxLargeBodyBytes()) {
    return this->Grow(body.size());
  }
  const std::size_t bytes = std::max(body.size(), max_bytes);
  if (!this->Grow(bytes)) {
    return false;
  }
  body.reserve(bytes);  // A larger buffer would be beside this one until it is copied.
  return true;
}

bool BodyReservation::Resize(std::size_t new_bytes) {
  if (new_bytes < this->bytes) {
    this->Release();
  }
  return this->Grow(new_bytes);
}

bool BodyReservation::TryGrow(std::size_t new_bytes) {
  if (new_bytes <= this->bytes) {
    return true;
  }
  assert(this->memory != nullptr);
  this->memory->Remove(this->share, this->bytes);
  const std::optional<BodyMemory::Share> fitting = this->memory->FindShare(new_bytes);
  if (fitting) {
    this->share = *fitting;
    this->bytes = new_bytes;
  }
  this->memory->Add(this->share, this->bytes);
  return fitting.has_value();
}

void BodyReservation::Release() {
  if (this->bytes == 0) {
    return;
  }
  this->memory->Remove(this->share, this->bytes);
  this->bytes = 0;
}

}  // namespace masticpin
