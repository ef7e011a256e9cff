#include "load/action.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

namespace masticpin::load {

namespace {

constexpr int kKeyRequiredStatus = 428;

// Bounds the immediate retries with a key from a 428 response, in case a node never accepts the
// keys that it issues.
constexpr int kMaxKeyRequests = 3;

// Errors after which callers must not retry.
constexpr std::array<std::string_view, 6> kFinalErrors = {"malformed_request", "not_found",
                                                          "body_too_large",    "attempts_exhausted",
                                                          "outcome_lost",      "cancelled"};

bool IsFinalError(const std::string& error) {
  return std::find(kFinalErrors.begin(), kFinalErrors.end(), error) != kFinalErrors.end();
}

}  // namespace

Action::Action(std::string path, std::string key, int retries)
    : path(std::move(path)), retries_left(retries), key_requests_left(kMaxKeyRequests) {
  this->keys.push_back({std::move(key), Outcome::kUnknown});
}

Action::Next Action::OnTryResult(const TryResult& try_result) {
  KeyUse& use = this->keys.back();
  use.last = ConcludeOutcome(try_result);
  switch (use.last) {
    case Outcome::kComplete:
      // Other statuses only say that the action is complete; its response is no longer stored.
      this->wrong_response = try_result.status == 200 && !try_result.is_matching_response;
      return Next::kEnd;
    case Outcome::kUnknown:
      // Retries with the same key: the action may have run, and only the home node of this key can
      // detect that.
      return IsFinalError(try_result.error) ? Next::kEnd : this->Retry();
    case Outcome::kNotRun:
      break;
  }

  if (try_result.status == kKeyRequiredStatus && !try_result.key.empty() &&
      this->key_requests_left > 0) {
    --this->key_requests_left;
    this->UseKey(try_result.key);
    return Next::kRetryNow;
  }
  if (IsFinalError(try_result.error)) {
    return Next::kEnd;
  }
  const Next next = this->Retry();
  if (next == Next::kEnd) {
    return next;
  }
  if (try_result.key.empty() && try_result.error == "draining") {
    // The key becomes invalid when its home node stops; another node issues a new one.
    this->keys.push_back({"", Outcome::kUnknown});
  }
  this->UseKey(try_result.key);
  return next;
}

void Action::UseKey(const std::string& key) {
  if (!key.empty() && key != this->Key()) {
    this->keys.push_back({key, Outcome::kUnknown});
  }
}

Action::Next Action::Retry() {
  if (this->retries_left == 0) {
    return Next::kEnd;
  }
  --this->retries_left;
  return Next::kRetryLater;
}

Outcome ConcludeOutcome(const TryResult& try_result) {
  if (!try_result.has_response) {
    return try_result.not_sent ? Outcome::kNotRun : Outcome::kUnknown;
  }
  if (try_result.outcome == "complete" ||
      (try_result.outcome.empty() && try_result.status == 200)) {
    return Outcome::kComplete;
  }
  return try_result.outcome == "not-run" ? Outcome::kNotRun : Outcome::kUnknown;
}

bool IsMatchingResponse(const std::string& body, const std::string& path, const std::string& key) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object() || !json.contains("data") || !json["data"].is_string() ||
      !json.contains("bytes") || !json.contains("action") || !json.contains("path")) {
    return false;
  }
  return json["data"].get_ref<const std::string&>().size() == json["bytes"] &&
         json["path"] == path && (key.empty() || json["action"] == key);
}

}  // namespace masticpin::load
