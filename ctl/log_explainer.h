#pragma once

#include <chrono>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "ctl/log_line.h"

namespace masticpin {

/// Finds the cause of a failed request in the logs of masticpin-sidecar: the lines of the request
/// and of its inner calls, the line where the failure began, and the load and state changes that
/// the nodes reported around that time.
///
/// The logs are read twice: first all lines go to AddRequestLine(), then all lines to
/// AddContextLine(), so that only the lines of the request and of the time around it are kept.
class LogExplainer {
 public:
  /// `id` is the id of a request or of one of its inner calls.
  explicit LogExplainer(std::string id) : id(std::move(id)) {}

  void AddRequestLine(const LogLine& line);
  void AddContextLine(const LogLine& line);

  /// Whether a line of the request was found.
  bool Found() const { return !this->request_lines.empty(); }

  /// Writes the explanation. Found() must be true.
  void Write(std::ostream& out) const;

 private:
  /// Returns the line where the failure began: the earliest line of the deepest call that failed.
  const LogLine& RootCause() const;
  void WriteCause(const LogLine& root_cause, std::ostream& out) const;
  static void WriteLines(std::string_view title, std::vector<LogLine> lines, std::ostream& out);

  const std::string id;
  std::vector<LogLine> request_lines;
  std::vector<LogLine> load_problems;
  std::vector<LogLine> state_changes;
  /// Number of lines that the nodes dropped around the time of the request.
  std::uint64_t dropped_lines = 0;
};

}  // namespace masticpin
