#pragma once

#include <map>
#include <string_view>

namespace masticpin {

/// Counts of the results of all actions of one or more simulations.
struct ActionTotals {
  int actions = 0;
  int complete = 0;
  int runs = 0;
  int ran_twice = 0;
  int not_run_but_ran = 0;
  int over_attempt_bound = 0;
  int wrong_response = 0;
  std::map<std::string_view, int> errors;

  void Add(const ActionTotals& other) {
    this->actions += other.actions;
    this->complete += other.complete;
    this->runs += other.runs;
    this->ran_twice += other.ran_twice;
    this->not_run_but_ran += other.not_run_but_ran;
    this->over_attempt_bound += other.over_attempt_bound;
    this->wrong_response += other.wrong_response;
    for (const auto& [name, count] : other.errors) {
      this->errors[name] += count;
    }
  }
};

}  // namespace masticpin
