#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

#include "masticpin/admission/body_reservation.h"
#include "masticpin/base/ref_counted.h"

namespace masticpin {

/// The body of a message, shared without copies by all that still need it. Its memory is counted
/// until the last of them has released it: an instance may work on a request whose caller has left.
class MessageBody : public RefCounted<MessageBody> {
 public:
  /// `memory` is the reservation of `bytes`.
  MessageBody(std::string bytes, BodyReservation memory)
      : bytes(std::move(bytes)), memory(std::move(memory)) {}

  const std::string& Bytes() const { return this->bytes; }
  std::size_t Size() const { return this->bytes.size(); }

 private:
  const std::string bytes;
  const BodyReservation memory;
};

/// Returns the bytes of `body`, or an empty view if it is nullptr.
inline std::string_view BytesOf(const Ref<const MessageBody>& body) {
  return body == nullptr ? std::string_view() : std::string_view(body->Bytes());
}

}  // namespace masticpin
