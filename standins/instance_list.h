#pragma once

#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

#include "masticpin/base/clock.h"
#include "standins/lagging_value.h"

namespace masticpin::standins {

/// The platform's instance list, whose changes readers see after a lag. Thread-safe.
class InstanceList {
 public:
  /// `initial` is a JSON array of instances, visible immediately. `clock` must outlive the object.
  InstanceList(const Clock& clock, nlohmann::json initial, Duration lag)
      : clock(clock), list(std::move(initial), lag) {}

  /// Sets the state of one instance to "live" or "leaving", or removes it for "gone". Returns false
  /// if there is no such instance.
  bool SetState(const std::string& name, const std::string& state);
  void Replace(nlohmann::json instances);
  void SetLag(Duration lag);

  /// Returns the list that readers see now.
  nlohmann::json Visible();

 private:
  const Clock& clock;
  std::mutex mutex;
  LaggingValue<nlohmann::json> list;
};

}  // namespace masticpin::standins
