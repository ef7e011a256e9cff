#pragma once

#include <string_view>

namespace masticpin {

/// Receives changes of the speed of instances beyond a bound.
class SpeedObserver {
 public:
  virtual ~SpeedObserver() = default;

  /// `previous` and `pace` are work times compared with the usual one of the service.
  virtual void OnSpeedChanged(std::string_view service,
                              std::string_view instance,
                              double previous,
                              double pace) = 0;
};

}  // namespace masticpin
