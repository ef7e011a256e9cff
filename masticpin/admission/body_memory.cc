#include "masticpin/admission/body_memory.h"

#include <algorithm>
#include <cassert>

namespace masticpin {
namespace {

/// Whether `bytes` more fit. Subtracts from the bound, because an announced size may be close to
/// the largest number.
bool Fits(std::size_t used, std::size_t bytes, std::size_t bound) {
  return used <= bound && bytes <= bound - used;
}

}  // namespace

BodyMemory::BodyMemory(const BodyMemorySettings& settings, BodyMemoryPool* pool)
    : settings(settings), pool(pool) {
  if (pool != nullptr) {
    pool->accounts.push_back(this);
  }
}

BodyMemory::~BodyMemory() {
  assert(this->small_bytes == 0 && this->large_bytes == 0 && this->oversized_bytes == 0);
  if (this->pool != nullptr) {
    std::erase(this->pool->accounts, this);
  }
}

std::optional<BodyMemory::Share> BodyMemory::FindShare(std::size_t bytes) const {
  if (bytes <= this->settings.max_small_body_bytes &&
      Fits(this->small_bytes, bytes, this->settings.small_share_bytes)) {
    return Share::kSmall;
  }
  if (this->pool != nullptr && !Fits(this->pool->bytes, bytes, this->pool->settings.max_bytes)) {
    return std::nullopt;
  }
  if (Fits(this->large_bytes, bytes, this->settings.large_share_bytes)) {
    return Share::kLarge;
  }
  const bool oversized =
      bytes > this->settings.large_share_bytes && this->pool != nullptr &&
      Fits(this->pool->oversized_bytes, bytes, this->pool->settings.max_oversized_bytes);
  return oversized ? std::optional(Share::kOversized) : std::nullopt;
}

bool BodyMemory::IsLimitedByPool(std::size_t bytes) const {
  return this->pool != nullptr &&
         (bytes > this->settings.large_share_bytes ||
          Fits(this->large_bytes, bytes, this->settings.large_share_bytes));
}

bool BodyMemory::CouldFit(std::size_t bytes) const {
  return bytes <= this->settings.large_share_bytes ||
         (this->pool != nullptr && bytes <= this->pool->settings.max_oversized_bytes);
}

bool BodyMemory::Reclaim(std::size_t bytes) {
  if (this->reclaimer == nullptr) {
    return false;
  }
  if (this->reclaimer->Reclaim(*this)) {
    return true;
  }
  return this->IsLimitedByPool(bytes) &&
         std::any_of(this->pool->accounts.begin(), this->pool->accounts.end(),
                     [this](BodyMemory* account) {
                       return account != this && this->reclaimer->Reclaim(*account);
                     });
}

void BodyMemory::Add(Share share, std::size_t bytes) {
  this->BytesOf(share) += bytes;
  if (this->pool != nullptr && share != Share::kSmall) {
    this->pool->bytes += bytes;
    this->pool->oversized_bytes += share == Share::kOversized ? bytes : 0;
  }
}

void BodyMemory::Remove(Share share, std::size_t bytes) {
  assert(this->BytesOf(share) >= bytes);
  this->BytesOf(share) -= bytes;
  if (this->pool != nullptr && share != Share::kSmall) {
    assert(this->pool->bytes >= bytes);
    this->pool->bytes -= bytes;
    this->pool->oversized_bytes -= share == Share::kOversized ? bytes : 0;
  }
}

std::size_t& BodyMemory::BytesOf(Share share) {
  switch (share) {
    case Share::kSmall:
      return this->small_bytes;
    case Share::kLarge:
      return this->large_bytes;
    case Share::kOversized:
      break;
  }
  return this->oversized_bytes;
}

}  // namespace masticpin
