#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace masticpin {

/// One event of a node's log.
struct LogLine {
  /// Time of the event: since 1970 where the line has a date, else since the start of the
  /// recording.
  std::chrono::milliseconds time{};
  /// The date and time as the line spells them; empty in a recording.
  std::string date;
  /// The process that wrote the line.
  std::string source;
  /// The fields in their order; quotes around values are removed.
  std::vector<std::pair<std::string, std::string>> fields;
  /// The line from its first field on.
  std::string text;

  /// Takes "[DATE TIME] [LEVEL] key=value..." or "SECONDS PROCESS key=value..." apart. The process
  /// is `default_source` in the first form. Returns nothing for a line without time or event.
  static std::optional<LogLine> Parse(std::string_view line, std::string_view default_source);

  /// The value of a field, or an empty text.
  std::string_view Field(std::string_view name) const;
  /// The value of a field as a number; 0 if it has none.
  double Number(std::string_view name) const;
};

}  // namespace masticpin
