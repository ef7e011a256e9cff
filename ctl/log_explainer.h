#pragma once

#include <chrono>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "ctl/log_line.h"

namespace masticpin {

/// Finds the cause of a failed request in the logs of masticpin-sidecar: the lines of the request
/// and of the calls that it caused, the line where the failure began, and what the nodes reported
/// about their load and their state at that time.
///
/// The logs are given twice: first all lines to AddRequestLine(), then all to AddContextLine(), so
/// that only the lines of the request and of its time are kept.
class LogExplainer {
 public:
  /// `id` is the id of a request or of a call.
  explicit LogExplainer(std::string id) : id(std::move(id)) {}

  void AddRequestLine(const LogLine& line);
  void AddContextLine(const LogLine& line);

  /// Whether a line of the request was found.
  bool Found() const { return !this->request_lines.empty(); }

  /// Writes the explanation. AddRequestLine() must have found the request.
  void Write(std::ostream& out) const;

 private:
  /// The line where the failure began: the one of the deepest call, and of those the first.
  const LogLine& RootCause() const;
  void WriteCause(const LogLine& root_cause, std::ostream& out) const;
  static void WriteLines(std::string_view title, std::vector<LogLine> lines, std::ostream& out);

  const std::string id;
  std::vector<LogLine> request_lines;
  std::vector<LogLine> load_problems;
  std::vector<LogLine> state_changes;
  /// Lines that the nodes could not write in the time of the request.
  std::uint64_t dropped_lines = 0;
};

}  // namespace masticpin
