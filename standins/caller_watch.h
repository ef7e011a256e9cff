#pragma once

#include "masticpin/base/time.h"

namespace masticpin::standins {

/// Tells an upstream whether the caller still waits for the response.
class CallerWatch {
 public:
  virtual ~CallerWatch() = default;

  /// Waits for `time`, or less if the caller leaves. Returns true if the caller has left.
  virtual bool WaitForClose(Duration time) = 0;
};

}  // namespace masticpin::standins
