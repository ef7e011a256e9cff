#pragma once

#include <cstdint>

namespace masticpin {

/// What the result of a request shows about the instance that received it.
enum class InstanceOutcome : std::uint8_t {
  /// The instance sent a response, successful or with an error that it did not cause.
  kGood,
  /// The instance refused the request because of its load; its load report has the details.
  kRefused,
  /// The instance failed, sent an incomplete response or did not respond.
  kFailed,
  /// The node of the instance could not be reached, or the connection to it was lost.
  kNodeLost,
  /// The request ended for a reason that is unrelated to the instance.
  kNone,
};

}  // namespace masticpin
