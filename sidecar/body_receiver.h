#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "masticpin/admission/body_reservation.h"
#include "masticpin/base/ref_counted.h"
#include "sidecar/message_body.h"

namespace masticpin {

/// Collects a body that a peer sends in parts.
class BodyReceiver {
 public:
  enum class Result { kIncomplete, kComplete, kTooLong };

  /// `memory` holds the reservation of `bytes`, the announced size of the body.
  BodyReceiver(std::size_t bytes, BodyReservation memory);

  Result Append(std::string_view part);

  /// Returns the complete body.
  Ref<const MessageBody> TakeBody();

  /// Returns the bytes of the complete body, and releases their memory.
  std::string TakeBytes();

 private:
  const std::size_t expected_bytes;
  std::string bytes;
  BodyReservation memory;
};

}  // namespace masticpin
