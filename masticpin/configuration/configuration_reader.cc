#include "masticpin/configuration/configuration_reader.h"

#include <algorithm>
#include <utility>

namespace masticpin {

ConfigurationReader::ConfigurationReader(std::string document,
                                         DocumentStore& store,
                                         ReaderSelection& readers,
                                         ConfigurationServiceClient& client,
                                         const Clock& clock,
                                         TimerService& timers,
                                         RandomSource& random,
                                         Settings settings)
    : document(std::move(document)),
      store(store),
      readers(readers),
      client(client),
      clock(clock),
      timers(timers),
      random(random),
      settings(settings) {}

ConfigurationReader::~ConfigurationReader() {
  if (this->call != 0) {
    this->client.Cancel(this->call);
  }
}

void ConfigurationReader::Start() {
  this->OnTimer(this->clock.Now());
}

void ConfigurationReader::OnTimer(TimePoint now) {
  if (this->call != 0 && now >= this->call_deadline) {
    // The response is considered lost; without a timeout a dead connection would block all further
    // reads.
    this->client.Cancel(std::exchange(this->call, 0));
    this->OnServiceResponse(ServiceResponse{});
    return;
  }
  if (this->call == 0) {
    const ReaderRole current = this->readers.Role();
    if (current != this->role) {
      this->EnterRole(current, now);
    }
    if (this->role != ReaderRole::kNone && now >= this->next_call) {
      this->Call(now);
    }
  }
  this->Schedule(now);
}

void ConfigurationReader::EnterRole(ReaderRole new_role, TimePoint now) {
  this->role = new_role;
  this->backoff = Duration::zero();
  this->next_call = now;
  if (new_role == ReaderRole::kFallback) {
    // The confirmation times out on all nodes at about the same time, so their first calls are
    // spread.
    this->backoff = this->readers.GetSettings().initial_backoff;
    const Duration spread = this->readers.SpreadInterval(this->backoff);
    this->next_call += Duration(this->random.NextBelow(static_cast<std::uint64_t>(spread.count())));
  }
}

void ConfigurationReader::Call(TimePoint now) {
  const std::uint64_t version = this->store.VersionOf(this->document);
  const bool watches = this->role == ReaderRole::kReader && version != 0;
  const Duration watch_wait =
      now < this->throttled_until ? this->settings.throttled_watch_wait : this->settings.watch_wait;
  const Duration wait = watches ? watch_wait : Duration::zero();
  ++this->calls;
  this->call_deadline = now + wait + this->settings.response_grace;
  this->call = this->client.Read(this->document, version, wait, [this](ServiceResponse response) {
    this->call = 0;
    this->OnServiceResponse(std::move(response));
  });
}

void ConfigurationReader::OnServiceResponse(ServiceResponse response) {
  const TimePoint now = this->clock.Now();
  this->last_status = response.status;
  const ReadOutcome outcome = this->Apply(std::move(response));
  // An invalid value also counts as a confirmation: the fallback reads of other nodes would only
  // return the same value.
  if (outcome == ReadOutcome::kConfirmed || outcome == ReadOutcome::kInvalidValue) {
    this->readers.RecordConfirmation(Duration::zero());
  }
  const bool fallback = this->role == ReaderRole::kFallback;
  const Duration initial_backoff =
      fallback ? this->readers.GetSettings().initial_backoff : this->settings.initial_backoff;
  const Duration max_backoff =
      fallback ? this->readers.GetSettings().max_backoff : this->settings.max_backoff;
  if (outcome == ReadOutcome::kConfirmed) {
    this->backoff = Duration::zero();
    this->next_call = now + this->settings.min_call_interval;
  } else {
    const Duration before = this->backoff;
    this->backoff = std::min(std::max(before * 2, initial_backoff), max_backoff);
    if (outcome == ReadOutcome::kThrottled) {
      // Too many nodes consider themselves readers, for example because the platform's instance
      // list is missing; only a long back-off and long watches bring the call rate below the
      // service's limit.
      this->throttled_until = now + this->settings.throttled_duration;
      this->backoff =
          std::min(std::max(before * 2, max_backoff), this->readers.GetSettings().max_backoff);
    }
    this->next_call =
        now + this->Jitter(fallback ? this->readers.SpreadInterval(this->backoff) : this->backoff);
  }
  this->Schedule(now);
}

ConfigurationReader::ReadOutcome ConfigurationReader::Apply(ServiceResponse response) {
  switch (response.status) {
    case ServiceStatus::kNotModified:
      return ReadOutcome::kConfirmed;
    case ServiceStatus::kThrottled:
      return ReadOutcome::kThrottled;
    case ServiceStatus::kUnavailable:
      return ReadOutcome::kFailed;
    case ServiceStatus::kMissing:
      this->stale_responses += this->store.VersionOf(this->document) != 0 ? 1 : 0;
      return ReadOutcome::kStale;
    case ServiceStatus::kValue:
      break;
  }
  switch (this->store.Offer(this->document, response.version, std::move(response.bytes),
                            DocumentSource{DocumentSourceKind::kService, {}})) {
    case OfferResult::kAccepted:
    case OfferResult::kAlreadyInForce:
      return ReadOutcome::kConfirmed;
    case OfferResult::kOlder:
      ++this->stale_responses;
      return ReadOutcome::kStale;
    case OfferResult::kConflict:
    case OfferResult::kInvalid:
    case OfferResult::kTooLarge:
      break;
  }
  return ReadOutcome::kInvalidValue;
}

void ConfigurationReader::Schedule(TimePoint now) {
  if (this->call != 0) {
    this->timers.Schedule(*this, this->call_deadline);
    return;
  }
  TimePoint due = now + this->settings.role_check_interval;
  if (this->role != ReaderRole::kNone) {
    due = std::min(due, this->next_call);
  }
  this->timers.Schedule(*this, due);
}

Duration ConfigurationReader::Jitter(Duration base) {
  // Uniform in [base / 2, base * 3 / 2), so that the mean equals the back-off.
  return base / 2 + Duration(this->random.NextBelow(static_cast<std::uint64_t>(base.count())));
}

}  // namespace masticpin
