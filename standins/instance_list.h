#pragma once

#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

#include "masticpin/base/clock.h"
#include "standins/lagging_value.h"

namespace masticpin::standins {

/// The platform's list of instances, which readers see with a lag. Thread-safe.
class InstanceList {
 public:
  /// `initial` is a JSON array of instances and visible at once. `clock` must outlive the object.
  InstanceList(const Clock& clock, nlohmann::json initial, Duration lag)
      : clock(clock), list(std::move(initial), lag) {}

  /// Sets the state of one instance to "live", "leaving" or "gone". Returns false if there is no
  /// such instance.
  bool SetState(const std::string& name, const std::string& state);
  void Replace(nlohmann::json instances);
  void SetLag(Duration lag);

  /// The list that readers see.
  nlohmann::json Visible();

 private:
  const Clock& clock;
  std::mutex mutex;
  LaggingValue<nlohmann::json> list;
};

}  // namespace masticpin::standins
