#pragma once

#include <cstdint>
#include <string>

#include "masticpin/base/clock.h"
#include "masticpin/base/random_source.h"
#include "masticpin/base/timer_service.h"
#include "masticpin/configuration/configuration_service_client.h"
#include "masticpin/configuration/document_store.h"
#include "masticpin/configuration/reader_selection.h"

namespace masticpin {

struct ConfigurationReaderSettings {
  /// Longest wait of one watch; each renewal is one call at the service, and one confirmation. With
  /// the time in which a confirmation spreads it must stay below
  /// ReaderSelectionSettings::confirmation_life, or all other nodes would fall back between two
  /// renewals.
  Duration watch_wait = std::chrono::seconds(5);
  /// Wait of a watch for `throttled_life` after a 429: there are far too many readers then, so that
  /// confirmations are frequent all the same.
  Duration throttled_watch_wait = std::chrono::seconds(30);
  Duration throttled_duration = std::chrono::minutes(10);
  /// Extra time for an answer before the call counts as lost.
  Duration response_grace = std::chrono::seconds(2);
  /// How often the role is checked while nothing else happens.
  Duration role_check_interval = std::chrono::seconds(1);
  /// Back-off of a reader after a failed or stale answer. A watch on a stale service returns at
  /// once, so without a back-off a reader would call it in a loop. The upper bound is far below
  /// that of fallback reads because readers are few.
  Duration initial_backoff = std::chrono::milliseconds(500);
  Duration max_backoff = std::chrono::seconds(4);
  /// Shortest time between two calls, in case the service answers a watch at once without need.
  Duration min_call_interval = std::chrono::milliseconds(100);
};

/// Reads and watches one document at the configuration service when the role of this node asks for
/// it. Not thread-safe.
class ConfigurationReader : public TimerSubscriber {
 public:
  using Settings = ConfigurationReaderSettings;

  ConfigurationReader(std::string document,
                      DocumentStore& store,
                      ReaderSelection& readers,
                      ConfigurationServiceClient& client,
                      const Clock& clock,
                      TimerService& timers,
                      RandomSource& random,
                      Settings settings = {});
  ~ConfigurationReader() override;

  void Start();
  void OnTimer(TimePoint now) override;

  /// Calls made so far.
  std::uint64_t Calls() const { return this->calls; }

  /// Status of the last answer, for the status page.
  ServiceStatus LastStatus() const { return this->last_status; }

  /// Answers that held a version below the one in force.
  std::uint64_t StaleResponses() const { return this->stale_responses; }

 private:
  // What an answer says about the service.
  enum class ReadOutcome : std::uint8_t { kConfirmed, kInvalidValue, kStale, kThrottled, kFailed };

  void EnterRole(ReaderRole new_role, TimePoint now);
  void Call(TimePoint now);
  void OnServiceResponse(ServiceResponse response);
  ReadOutcome Apply(ServiceResponse response);
  void Schedule(TimePoint now);
  Duration Jitter(Duration base);

  const std::string document;
  DocumentStore& store;
  ReaderSelection& readers;
  ConfigurationServiceClient& client;
  const Clock& clock;
  TimerService& timers;
  RandomSource& random;
  const Settings settings;
  // Number of the call in progress, 0 if there is none.
  std::uint64_t call = 0;
  ReaderRole role = ReaderRole::kNone;
  Duration backoff{};
  TimePoint next_call{};
  // End of the long watches after the last 429.
  TimePoint throttled_until{};
  // When the call in progress counts as lost.
  TimePoint call_deadline{};
  std::uint64_t calls = 0;
  std::uint64_t stale_responses = 0;
  ServiceStatus last_status = ServiceStatus::kUnavailable;
};

}  // namespace masticpin
