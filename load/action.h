#pragma once

#include <string>
#include <vector>

#include "masticpin/error/error_info.h"

namespace masticpin::load {

/// Result of one try, as the caller sees it.
struct TryResult {
  /// False if no complete HTTP response arrived.
  bool has_response = false;
  /// True if the connection could not be established.
  bool not_sent = false;
  int status = 0;
  /// Values of the headers Masticpin-Outcome, Masticpin-Error and Idempotency-Key; empty if absent.
  std::string outcome;
  std::string error;
  std::string key;
  /// Whether the body is the complete response to this request and not to another one.
  bool is_matching_response = false;
};

/// State of one action of a caller from its first to its last try. Decides whether, when and with
/// which key the caller retries. Not thread-safe.
class Action {
 public:
  /// What the caller does after a try. kRetryNow is a retry with a key from a 428 response and does
  /// not count against the retries; kRetryLater is a retry after a delay.
  enum class Next : std::uint8_t { kEnd, kRetryNow, kRetryLater };

  /// A key that the action used, and the outcome of the last try with it.
  struct KeyUse {
    std::string key;
    Outcome last = Outcome::kUnknown;
  };

  /// `key` is empty if the caller has none yet.
  Action(std::string path, std::string key, int retries);

  const std::string& Path() const { return this->path; }
  /// Returns the key for the next try; may be empty.
  const std::string& Key() const { return this->keys.back().key; }

  /// Receives the result of a try with Key(). Returns what the caller does next.
  Next OnTryResult(const TryResult& try_result);

  /// Returns the outcome of the last try.
  Outcome LastOutcome() const { return this->keys.back().last; }
  /// Returns whether a complete response belonged to another request or was damaged.
  bool WrongResponse() const { return this->wrong_response; }
  const std::vector<KeyUse>& Keys() const { return this->keys; }

 private:
  /// Uses `key` for the next try, unless it is empty.
  void UseKey(const std::string& key);
  /// Uses one of the remaining retries. Returns kRetryLater, or kEnd if none remains.
  Next Retry();

  std::string path;
  std::vector<KeyUse> keys;
  int retries_left;
  int key_requests_left;
  bool wrong_response = false;
};

/// Returns the outcome that a caller can conclude from `try_result`.
Outcome ConcludeOutcome(const TryResult& try_result);

/// Returns true if `body` is the complete upstream response for `path` and `key`; an empty `key`
/// is not compared.
bool IsMatchingResponse(const std::string& body, const std::string& path, const std::string& key);

}  // namespace masticpin::load
