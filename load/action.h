#pragma once

#include <string>
#include <vector>

#include "masticpin/error/error_info.h"

namespace masticpin::load {

/// What a caller sees of one try.
struct TryResult {
  /// False if no complete HTTP response arrived.
  bool has_response = false;
  /// True if the connection could not be made.
  bool not_sent = false;
  int status = 0;
  /// Values of the response headers; empty if absent.
  std::string outcome;
  std::string error;
  std::string key;
  /// Whether the body is the whole response to this very request.
  bool is_matching_response = false;
};

/// One action of a caller, from its first try to its last: decides whether and with which key the
/// caller tries again. Not thread-safe.
class Action {
 public:
  enum class Next : std::uint8_t { kEnd, kRetryNow, kRetryLater };

  /// A key that was used, and what was last said about it.
  struct KeyUse {
    std::string key;
    Outcome last = Outcome::kUnknown;
  };

  /// `key` is empty if the caller has none yet.
  Action(std::string path, std::string key, int retries);

  const std::string& Path() const { return this->path; }
  /// The key for the next try; may be empty.
  const std::string& Key() const { return this->keys.back().key; }

  Next OnTryResult(const TryResult& try_result);

  /// The outcome of the last try.
  Outcome LastOutcome() const { return this->keys.back().last; }
  /// Whether a complete response belonged to another request or was damaged.
  bool WrongResponse() const { return this->wrong_response; }
  const std::vector<KeyUse>& Keys() const { return this->keys; }

 private:
  /// Takes the key that the response names, if any.
  void UseKey(const std::string& key);
  Next Retry();

  std::string path;
  std::vector<KeyUse> keys;
  int retries_left;
  int key_requests_left;
  bool wrong_response = false;
};

/// Returns the outcome that a caller can conclude from `reply`.
Outcome ConcludeOutcome(const TryResult& try_result);

/// Returns true if `body` is the complete upstream response for `path` and `key`; an empty `key`
/// is not compared.
bool IsMatchingResponse(const std::string& body, const std::string& path, const std::string& key);

}  // namespace masticpin::load
