#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "masticpin/error/error_info.h"
#include "masticpin/execution/action_key.h"
#include "masticpin/testing/action_totals.h"

namespace masticpin {

/// Records what upstreams ran and what results callers received, and compares the two at the end.
class ActionAudit {
 public:
  /// `attempts` is the maximum number of attempts of one action.
  explicit ActionAudit(std::uint32_t attempts) : attempts(attempts) {}

  void RecordRun(int action, const std::string& key) {
    ++this->totals.runs;
    ++this->runs_of_action[action];
    this->keys_that_ran.insert(key);
  }

  void RecordAttempt(const std::string& key) { ++this->attempts_of_key[key]; }

  void RecordComplete() { ++this->totals.complete; }

  void RecordWrongResponse() { ++this->totals.wrong_response; }

  /// A caller received `error` for the request with `key`, which may be empty.
  void RecordError(ErrorKind error, const std::string& key) {
    ++this->totals.errors[GetErrorInfo(error).name];
    if (IsNotRun(error) && !key.empty()) {
      this->reported_not_run.insert(key);
    }
  }

  /// Counts the violations: second runs, requests that ran although reported as not run, and
  /// actions with too many attempts.
  ActionTotals Check(int actions, const std::function<bool(int)>& is_idempotent) {
    this->totals.actions = actions;
    for (const auto& [action, runs] : this->runs_of_action) {
      if (runs > 1 && !is_idempotent(action)) {
        ++this->totals.ran_twice;
      }
    }
    for (const std::string& key : this->reported_not_run) {
      this->totals.not_run_but_ran += static_cast<int>(this->keys_that_ran.count(key));
    }
    // All keys of one action have the same home incarnation and sequence number.
    std::map<std::pair<std::uint64_t, std::uint64_t>, std::uint32_t> attempts_of_action;
    for (const auto& [text, count] : this->attempts_of_key) {
      const ActionKey key = ActionKey::Parse(text).value();
      attempts_of_action[{key.home.incarnation, key.sequence}] += count;
    }
    for (const auto& [action, count] : attempts_of_action) {
      this->totals.over_attempt_bound += count > this->attempts ? 1 : 0;
    }
    return this->totals;
  }

 private:
  const std::uint32_t attempts;
  std::map<int, int> runs_of_action;
  std::map<std::string, std::uint32_t> attempts_of_key;
  std::set<std::string> keys_that_ran;
  std::set<std::string> reported_not_run;
  ActionTotals totals;
};

}  // namespace masticpin
