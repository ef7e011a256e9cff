#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "masticpin/admission/body_memory_pool.h"
#include "masticpin/admission/body_memory_reclaimer.h"
#include "masticpin/admission/body_memory_settings.h"

namespace masticpin {

/// Account of the memory that bodies of messages take, over all connections of a process and from
/// the time they start to arrive. Small bodies have a share of their own, so that large ones do
/// not displace them. A body that exceeds the share of large ones is oversized; only an account
/// with a pool accepts it.
class BodyMemory {
 public:
  /// `pool` bounds the large and oversized bodies of several accounts, and must outlive the
  /// account; nullptr for none.
  explicit BodyMemory(const BodyMemorySettings& settings, BodyMemoryPool* pool = nullptr);
  /// All reservations must have been destroyed.
  ~BodyMemory();
  BodyMemory(const BodyMemory&) = delete;
  BodyMemory& operator=(const BodyMemory&) = delete;

  /// Sets what makes room when a reservation does not fit; nullptr for none.
  void SetReclaimer(BodyMemoryReclaimer* new_reclaimer) { this->reclaimer = new_reclaimer; }

  std::size_t SmallBytes() const { return this->small_bytes; }
  /// Size of the large bodies, including the oversized ones.
  std::size_t LargeBytes() const { return this->large_bytes + this->oversized_bytes; }
  /// Number of reservations that were refused.
  std::uint64_t Refusals() const { return this->refusals; }

  /// Maximum size of a body that is not oversized.
  std::size_t MaxLargeBodyBytes() const { return this->settings.large_share_bytes; }

 private:
  friend class BodyReservation;

  enum class Share { kSmall, kLarge, kOversized };

  /// Returns the share in which a further body fits, or std::nullopt if there is none.
  std::optional<Share> FindShare(std::size_t bytes) const;
  /// Whether a further body does not fit only because of what other accounts of the pool hold.
  bool IsLimitedByPool(std::size_t bytes) const;
  /// Whether a body may fit if all others are released.
  bool CouldFit(std::size_t bytes) const;
  /// Makes room for a further body. Returns false if nothing may be ended.
  bool Reclaim(std::size_t bytes);

  void Add(Share share, std::size_t bytes);
  void Remove(Share share, std::size_t bytes);
  std::size_t& BytesOf(Share share);

  const BodyMemorySettings settings;
  BodyMemoryPool* const pool;
  BodyMemoryReclaimer* reclaimer = nullptr;
  std::size_t small_bytes = 0;
  std::size_t large_bytes = 0;
  std::size_t oversized_bytes = 0;
  std::uint64_t refusals = 0;
};

}  // namespace masticpin
