#include "load/load_runner.h"

#include <spdlog/fmt/fmt.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "masticpin/wire/http_headers.h"

namespace masticpin::load {

namespace {

// Additional delay of a retry that is due while all threads are busy.
constexpr Duration kBusyDelay = std::chrono::milliseconds(5);

// Added to the deadline to get the timeout of a try: a node answers by the deadline, and the margin
// covers the transfer of the response.
constexpr Duration kDeadlineMargin = std::chrono::milliseconds(300);

TryResult ToTryResult(const standins::ClientPool::SendResult& send_result,
                      const std::string& path,
                      const std::string& key) {
  TryResult result;
  result.has_response = send_result.complete;
  result.not_sent = send_result.not_sent;
  if (send_result.complete) {
    result.status = send_result.response.status;
    result.outcome = send_result.response.get_header_value(kOutcomeHeader);
    result.error = send_result.response.get_header_value(kErrorHeader);
    result.key = send_result.response.get_header_value(kIdempotencyKeyHeader);
    result.is_matching_response =
        result.status == 200 && IsMatchingResponse(send_result.response.body, path, key);
  }
  return result;
}

}  // namespace

/// An action in progress and the record to which its result is written.
struct LoadRunner::RunningAction {
  Action action;
  ActionRecord* record = nullptr;
};

LoadRunner::LoadRunner(const Scenario& scenario, const LoadTargets& targets, RandomSource& random)
    : scenario(scenario), targets(targets), random(random), pool(scenario.threads) {}

std::vector<ActionRecord> LoadRunner::Run() {
  const std::vector<Arrival> arrivals = DrawArrivals(this->scenario);
  // The threads write to the records, so the vector must not be resized later.
  this->records.resize(arrivals.size());
  this->started = std::chrono::steady_clock::now();
  std::size_t phase = 0;
  for (std::size_t i = 0; i < arrivals.size(); ++i) {
    while (phase < this->scenario.phases.size() &&
           arrivals[i].at >= this->scenario.PhaseBegin(phase)) {
      this->RunRetriesUntil(this->scenario.PhaseBegin(phase));
      this->StartPhase(phase++);
    }
    this->RunRetriesUntil(arrivals[i].at);
    this->Start(arrivals[i], i);
  }
  this->RunRetriesUntil(this->scenario.Length());
  // This loop ends because the number of retries is bounded and each try has a timeout.
  while (true) {
    {
      const std::lock_guard lock(this->mutex);
      if (this->unfinished == 0) {
        break;
      }
    }
    this->RunRetriesUntil(this->Elapsed() + std::chrono::milliseconds(50));
  }
  this->pool.shutdown();
  return std::move(this->records);
}

void LoadRunner::StartPhase(std::size_t phase) {
  spdlog::info("event=phase name={}", this->scenario.phases[phase].name);
  if (phase > 0) {
    for (const auto& [service, factor] : this->scenario.phases[phase - 1].speed_factors) {
      this->SetSpeed(service, 1.0);
    }
  }
  for (const auto& [service, factor] : this->scenario.phases[phase].speed_factors) {
    this->SetSpeed(service, factor);
  }
}

void LoadRunner::SetSpeed(const std::string& service, double factor) {
  const auto [begin, end] = this->targets.upstreams.equal_range(service);
  for (auto upstream = begin; upstream != end; ++upstream) {
    httplib::Request request;
    request.method = "POST";
    request.path = "/_upstream/control";
    request.body = fmt::format(R"({{"speed_factor":{}}})", factor);
    const auto send_result = this->clients.Send(upstream->second, request, std::chrono::seconds(1));
    if (!send_result.complete || send_result.response.status != 200) {
      spdlog::error("event=speed_not_set upstream={}", upstream->second);
    }
  }
}

void LoadRunner::Start(const Arrival& arrival, std::size_t number) {
  const RootKind& root = this->scenario.roots[arrival.root];
  ActionRecord& record = this->records[number];
  record.root = arrival.root;
  record.arrived = arrival.at;
  {
    const std::lock_guard lock(this->mutex);
    if (this->in_progress >= this->scenario.threads) {
      record.sent = false;
      return;
    }
    ++this->in_progress;
    ++this->unfinished;
  }
  std::string key;
  if (this->targets.generate_keys) {
    key = fmt::format("load-{:016x}-{}", this->random.Next(), number);
  } else if (root.use_key) {
    key = this->keys.Take(std::chrono::steady_clock::now());
  }
  auto* running_action = new RunningAction{
      Action(fmt::format("/{}/{}", root.name, number), key, this->scenario.retries), &record};
  this->Dispatch(*running_action);
}

void LoadRunner::Dispatch(RunningAction& running_action) {
  this->pool.enqueue([this, &running_action] { this->RunTry(running_action); });
}

void LoadRunner::RunTry(RunningAction& running_action) {
  const RootKind& root = this->scenario.roots[running_action.record->root];
  Action& action = running_action.action;
  Action::Next next = Action::Next::kRetryNow;
  while (next == Action::Next::kRetryNow) {
    const std::string key = action.Key();
    httplib::Request request;
    request.method = "POST";
    request.path = action.Path();
    request.body.assign(root.body_bytes, 'x');
    request.set_header("Content-Type", "text/plain");
    request.set_header(
        kDeadlineHeader,
        std::to_string(
            std::chrono::duration_cast<std::chrono::milliseconds>(root.deadline).count()));
    if (!key.empty()) {
      request.set_header(kIdempotencyKeyHeader, key);
    }
    const std::string& entry =
        this->targets.entry_nodes[this->random.NextBelow(this->targets.entry_nodes.size())];
    const auto send_result = this->clients.Send(entry, request, root.deadline + kDeadlineMargin);
    if (send_result.complete && send_result.response.has_header(kNextKeyHeader)) {
      this->keys.Add(send_result.response.get_header_value(kNextKeyHeader),
                     std::chrono::steady_clock::now());
    }
    next = action.OnTryResult(ToTryResult(send_result, action.Path(), key));
  }

  const std::lock_guard lock(this->mutex);
  --this->in_progress;
  if (next == Action::Next::kRetryLater) {
    this->retries.push({this->Elapsed() + this->RetryDelay(), &running_action});
  } else {
    ActionRecord& record = *running_action.record;
    record.ended = this->Elapsed();
    record.outcome = action.LastOutcome();
    record.wrong_response = action.WrongResponse();
    record.keys = action.Keys();
    --this->unfinished;
    delete &running_action;
  }
  this->state_changed.notify_one();
}

void LoadRunner::RunRetriesUntil(Duration time) {
  std::unique_lock lock(this->mutex);
  while (true) {
    const Duration now = this->Elapsed();
    while (!this->retries.empty() && this->retries.top().at <= now) {
      PendingRetry pending_retry = this->retries.top();
      this->retries.pop();
      if (this->in_progress >= this->scenario.threads) {
        pending_retry.at = now + kBusyDelay;
        this->retries.push(pending_retry);
        continue;
      }
      ++this->in_progress;
      this->Dispatch(*pending_retry.running_action);
    }
    if (now >= time) {
      return;
    }
    const Duration next = this->retries.empty() ? time : std::min(time, this->retries.top().at);
    this->state_changed.wait_until(lock, this->started + next);
  }
}

Duration LoadRunner::RetryDelay() {
  const Duration mean = this->scenario.retry_delay;
  if (mean <= Duration::zero()) {
    return Duration::zero();
  }
  return mean / 2 + Duration(static_cast<Duration::rep>(
                        this->random.NextBelow(static_cast<std::uint64_t>(mean.count()))));
}

Duration LoadRunner::Elapsed() const {
  return std::chrono::steady_clock::now() - this->started;
}

}  // namespace masticpin::load
