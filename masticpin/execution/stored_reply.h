#pragma once

#include <cstddef>
#include <utility>

#include "masticpin/base/ref_counted.h"
#include "masticpin/execution/execution.pb.h"

namespace masticpin {

/// The reply of an executor, shared by the sending thread and the execution table.
class StoredReply : public RefCounted<StoredReply> {
 public:
  explicit StoredReply(wire::ExecuteReply message)
      : message(std::move(message)), bytes(this->message.ByteSizeLong()) {}

  const wire::ExecuteReply& Message() const { return this->message; }
  std::size_t Bytes() const { return this->bytes; }

 private:
  wire::ExecuteReply message;
  std::size_t bytes;
};

}  // namespace masticpin
