#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "masticpin/admission/body_memory.h"

namespace masticpin {

/// The memory of one body in a BodyMemory. Releases it on destruction.
class BodyReservation {
 public:
  /// Reserves nothing.
  BodyReservation() = default;
  /// Reserves nothing yet. `memory` must outlive the reservation.
  explicit BodyReservation(BodyMemory& memory) : memory(&memory) {}
  BodyReservation(BodyReservation&& other) noexcept;
  BodyReservation& operator=(BodyReservation&& other) noexcept;
  ~BodyReservation() { this->Release(); }

  /// Enlarges the reservation to `bytes`; a smaller number changes nothing. Returns false, and
  /// changes nothing, if the account has no room for it and its reclaimer makes none.
  bool Grow(std::size_t bytes);

  /// Enlarges the reservation for `body`, which is arriving and may have `max_bytes`: to the
  /// announced length or, without one, to what has arrived. An oversized body without a length
  /// takes the maximum at once, because several that grew together might all stay incomplete.
  bool GrowWithBody(std::string& body,
                    std::optional<std::uint64_t> announced,
                    std::size_t max_bytes);

  /// Sets the reservation to `bytes`. Returns false, and keeps the smaller of both sizes, if the
  /// account has no room for it.
  bool Resize(std::size_t bytes);

  void Release();

  std::size_t Bytes() const { return this->bytes; }

 private:
  /// As Grow(), without making room.
  bool TryGrow(std::size_t bytes);

  BodyMemory* memory = nullptr;
  std::size_t bytes = 0;
  BodyMemory::Share share = BodyMemory::Share::kSmall;
};

}  // namespace masticpin
