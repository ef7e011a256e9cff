#pragma once

#include <map>
#include <string_view>

namespace masticpin {

/// What became of the actions of one or more simulated runs.
struct ActionTotals {
  int actions = 0;
  int complete = 0;
  int runs = 0;
  int doubled = 0;
  int not_run_but_ran = 0;
  int over_attempts = 0;
  int wrong_response = 0;
  std::map<std::string_view, int> errors;

  void Add(const ActionTotals& other) {
    this->actions += other.actions;
    this->complete += other.complete;
    this->runs += other.runs;
    this->doubled += other.doubled;
    this->not_run_but_ran += other.not_run_but_ran;
    this->over_attempts += other.over_attempts;
    this->wrong_response += other.wrong_response;
    for (const auto& [name, count] : other.errors) {
      this->errors[name] += count;
    }
  }
};

}  // namespace masticpin
