#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace masticpin {

/// One event in the log of a node, or in a recording: the lines of several processes, each with the
/// seconds since the start of the recording and the name of the process.
struct LogLine {
  /// Time of the event: since 1970 if the line has a date; since the start in a recording.
  std::chrono::milliseconds time{};
  /// Date and time in the format of the line; empty in a recording.
  std::string date;
  /// The process that wrote the line.
  std::string source;
  /// The fields from "event" on in the order of the line, without the quotes around values.
  std::vector<std::pair<std::string, std::string>> fields;
  /// The line from "event=" to its end.
  std::string text;

  /// Parses "time=DATE level=LEVEL event=NAME key=value...", "[DATE TIME] [LEVEL] event=NAME
  /// key=value..." or "SECONDS PROCESS event=NAME key=value...". The source is `default_source` for
  /// lines that do not name a process.
  /// Returns no value for a line without a time or an event.
  static std::optional<LogLine> Parse(std::string_view line, std::string_view default_source);

  /// The value of a field, or an empty string if the field is missing.
  std::string_view Field(std::string_view name) const;
  /// The value of a field as a number, or 0 if it is missing or not a number.
  double Number(std::string_view name) const;
};

}  // namespace masticpin
