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
  /// Maximum wait of one watch call. Each renewal of the watch is one call to the service and
  /// yields one confirmation. The wait plus the time in which a confirmation spreads to all nodes
  /// must stay below ReaderSelectionSettings::confirmation_timeout, or all other nodes would fall
  /// back between two renewals.
  Duration watch_wait = std::chrono::seconds(5);
  /// Maximum wait of one watch call during `throttled_duration` after a response with status 429.
  /// There are far too many readers then, so confirmations are frequent nevertheless.
  Duration throttled_watch_wait = std::chrono::seconds(30);
  Duration throttled_duration = std::chrono::minutes(10);
  /// Time beyond the wait after which a call without a response is considered lost.
  Duration response_grace = std::chrono::seconds(2);
  /// Interval of role checks while the node makes no calls.
  Duration role_check_interval = std::chrono::seconds(1);
  /// Back-off of a reader after a failed or stale response. A watch on a stale service returns
  /// immediately, so a reader without a back-off would call it in a loop. The maximum is far below
  /// that of fallback reads because there are few readers.
  Duration initial_backoff = std::chrono::milliseconds(500);
  Duration max_backoff = std::chrono::seconds(4);
  /// Minimum time between two calls, in case the service answers a watch immediately although
  /// nothing has changed.
  Duration min_call_interval = std::chrono::milliseconds(100);
};

/// Reads and watches one document at the configuration service while the role of this node (see
/// ReaderSelection) requires it. Not thread-safe.
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

  /// Number of calls made so far.
  std::uint64_t Calls() const { return this->calls; }

  /// Status of the last response, for the status page.
  ServiceStatus LastStatus() const { return this->last_status; }

  /// Number of responses with a version below the current one, or without the document although
  /// this node has it.
  std::uint64_t StaleResponses() const { return this->stale_responses; }

 private:
  // What a response says about the service.
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
  // Id of the call in progress; 0 if there is none.
  std::uint64_t call = 0;
  ReaderRole role = ReaderRole::kNone;
  Duration backoff{};
  TimePoint next_call{};
  // End of the period of long watches after the last response with status 429.
  TimePoint throttled_until{};
  // Time at which the call in progress is considered lost.
  TimePoint call_deadline{};
  std::uint64_t calls = 0;
  std::uint64_t stale_responses = 0;
  ServiceStatus last_status = ServiceStatus::kUnavailable;
};

}  // namespace masticpin
