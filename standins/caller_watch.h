#pragma once

#include "masticpin/base/time.h"

namespace masticpin::standins {

/// Lets an upstream detect that the caller has disconnected.
class CallerWatch {
 public:
  virtual ~CallerWatch() = default;

  /// Waits for `time` or until the caller disconnects. Returns true if the caller has disconnected.
  virtual bool WaitForClose(Duration time) = 0;
};

}  // namespace masticpin::standins
