#pragma once

#include <cstdint>

#include "masticpin/base/time.h"

namespace masticpin {

struct DepartureDetectorSettings {
  /// Number of successive responses that announce the end of their connection. Instances that stay
  /// announce it now and then; those that leave do so in each response.
  std::uint32_t min_closing_responses = 3;
  /// Time without a response after which a single one is enough. An instance that gets few requests
  /// would otherwise be noticed too late: three responses then take up to 1.5 s, and the notice
  /// time of a departure is 2 s.
  Duration max_response_gap = std::chrono::milliseconds(500);
  /// Time from one check to the next. It doubles, up to the maximum, as long as the instance goes
  /// on closing its connections and stays.
  Duration check_interval = std::chrono::seconds(1);
  Duration max_check_interval = std::chrono::seconds(30);
};

/// Detects from the responses of an instance that it seems to leave, so that the registry should be
/// read. The watch of its entry can then wait for a long time without the risk that a departure is
/// missed because the answer was lost.
class DepartureDetector {
 public:
  using Settings = DepartureDetectorSettings;

  explicit DepartureDetector(const Settings& settings = {}) : settings(settings) {}

  /// Records one response of the instance.
  void OnResponse(bool keeps_connection, TimePoint now);

  /// Returns whether the registry should be read now. At most true once per interval.
  bool TryStartCheck(TimePoint now);

 private:
  const Settings settings;
  std::uint32_t closing_responses = 0;
  TimePoint last_response_at{};
  Duration interval{};
  TimePoint next_check{};
};

}  // namespace masticpin
