#pragma once

#include <cstdint>

namespace masticpin {

/// What the end of a request says about the instance that had it.
enum class InstanceOutcome : std::uint8_t {
  /// It answered, well or with a failure that is not its own.
  kGood,
  /// It refused for its load; the load report says the rest.
  kRefused,
  /// It failed, broke off its answer or did not answer.
  kFailed,
  /// The node beside it could not be reached, or the connection to it was lost.
  kNodeLost,
  /// The request ended for a reason that says nothing about the instance.
  kNone,
};

}  // namespace masticpin
