#pragma once

#include <cstddef>
#include <utility>

#include "masticpin/base/ref_counted.h"
#include "masticpin/wire/http_message.pb.h"

namespace masticpin {

/// A complete response, shared by the calls that wait for it and the ledger.
class StoredResponse : public RefCounted<StoredResponse> {
 public:
  explicit StoredResponse(wire::HttpResponse message)
      : message(std::move(message)), bytes(this->message.ByteSizeLong()) {}

  const wire::HttpResponse& Message() const { return this->message; }

  /// Encoded size in bytes, which is close to the memory used by the response.
  std::size_t Bytes() const { return this->bytes; }

 private:
  wire::HttpResponse message;
  std::size_t bytes;
};

}  // namespace masticpin
