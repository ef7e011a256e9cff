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
    // The answer is lost; without a bound a dead connection would end the reading for good.
    this->client.Cancel(std::exchange(this->call, 0));
    this->OnAnswer(ServiceAnswer{});
    return;
  }
  if (this->call == 0) {
    const ReaderRole present = this->readers.Role();
    if (present != this->role) {
      this->EnterRole(present, now);
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
    // All nodes miss the confirmation at about the same time and must not call together.
    this->backoff = this->readers.GetSettings().first_backoff;
    const Duration spread = this->readers.Spread(this->backoff);
    this->next_call += Duration(this->random.Below(static_cast<std::uint64_t>(spread.count())));
  }
}

void ConfigurationReader::Call(TimePoint now) {
  const std::uint64_t version = this->store.VersionOf(this->document);
  const bool watches = this->role == ReaderRole::kReader && version != 0;
  const Duration watch =
      now < this->throttled_until ? this->settings.throttled_watch : this->settings.watch;
  const Duration wait = watches ? watch : Duration::zero();
  ++this->calls;
  this->call_deadline = now + wait + this->settings.answer_grace;
  this->call = this->client.Read(this->document, version, wait, [this](ServiceAnswer answer) {
    this->call = 0;
    this->OnAnswer(std::move(answer));
  });
}

void ConfigurationReader::OnAnswer(ServiceAnswer answer) {
  const TimePoint now = this->clock.Now();
  this->last_status = answer.status;
  const Verdict verdict = this->Apply(std::move(answer));
  // A bad value confirms as well: other nodes would read the same value.
  if (verdict == Verdict::kConfirmed || verdict == Verdict::kBadValue) {
    this->readers.Confirm(Duration::zero());
  }
  const bool fallback = this->role == ReaderRole::kFallback;
  const Duration first =
      fallback ? this->readers.GetSettings().first_backoff : this->settings.first_backoff;
  const Duration longest =
      fallback ? this->readers.GetSettings().longest_backoff : this->settings.longest_backoff;
  if (verdict == Verdict::kConfirmed) {
    this->backoff = Duration::zero();
    this->next_call = now + this->settings.shortest_gap;
  } else {
    const Duration before = this->backoff;
    this->backoff = std::min(std::max(before * 2, first), longest);
    if (verdict == Verdict::kThrottled) {
      // Too many nodes take themselves for readers, for example because the platform's list is
      // missing; only a long back-off and long watches bring their calls below the rate.
      this->throttled_until = now + this->settings.throttled_life;
      this->backoff =
          std::min(std::max(before * 2, longest), this->readers.GetSettings().longest_backoff);
    }
    this->next_call =
        now + this->Jitter(fallback ? this->readers.Spread(this->backoff) : this->backoff);
  }
  this->Schedule(now);
}

ConfigurationReader::Verdict ConfigurationReader::Apply(ServiceAnswer answer) {
  switch (answer.status) {
    case ServiceStatus::kNotModified:
      return Verdict::kConfirmed;
    case ServiceStatus::kThrottled:
      return Verdict::kThrottled;
    case ServiceStatus::kUnavailable:
      return Verdict::kFailed;
    case ServiceStatus::kMissing:
      this->stale_answers += this->store.VersionOf(this->document) != 0 ? 1 : 0;
      return Verdict::kStale;
    case ServiceStatus::kValue:
      break;
  }
  switch (this->store.Offer(this->document, answer.version, std::move(answer.bytes),
                            DocumentSource{DocumentSourceKind::kService, {}})) {
    case OfferResult::kAccepted:
    case OfferResult::kAlreadyInForce:
      return Verdict::kConfirmed;
    case OfferResult::kOlder:
      ++this->stale_answers;
      return Verdict::kStale;
    case OfferResult::kConflict:
    case OfferResult::kInvalid:
    case OfferResult::kTooLarge:
      break;
  }
  return Verdict::kBadValue;
}

void ConfigurationReader::Schedule(TimePoint now) {
  if (this->call != 0) {
    this->timers.Schedule(*this, this->call_deadline);
    return;
  }
  TimePoint due = now + this->settings.role_check;
  if (this->role != ReaderRole::kNone) {
    due = std::min(due, this->next_call);
  }
  this->timers.Schedule(*this, due);
}

Duration ConfigurationReader::Jitter(Duration base) {
  // Uniform in [base / 2, base * 3 / 2), so that the mean is the back-off itself.
  return base / 2 + Duration(this->random.Below(static_cast<std::uint64_t>(base.count())));
}

}  // namespace masticpin
