#include "ctl/log_line.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>

namespace masticpin {
namespace {

constexpr std::string_view kEvent = "event=";

std::optional<std::chrono::milliseconds> ParseDate(const std::string& text) {
  int year = 0;
  unsigned month = 0;
  unsigned day = 0;
  int hour = 0;
  int minute = 0;
  int second = 0;
  int millisecond = 0;
  constexpr int kParts = 7;
  // NOLINTBEGIN(cert-err34-c): the date is checked below.
  if (std::sscanf(text.c_str(), "time=%d-%u-%uT%d:%d:%d.%dZ", &year, &month, &day, &hour, &minute,
                  &second, &millisecond) != kParts &&
      std::sscanf(text.c_str(), "[%d-%u-%u %d:%d:%d.%d]", &year, &month, &day, &hour, &minute,
                  &second, &millisecond) != kParts) {
    return std::nullopt;
  }
  // NOLINTEND(cert-err34-c)
  const std::chrono::year_month_day date{std::chrono::year(year), std::chrono::month(month),
                                         std::chrono::day(day)};
  if (!date.ok()) {
    return std::nullopt;
  }
  return std::chrono::sys_days(date).time_since_epoch() + std::chrono::hours(hour) +
         std::chrono::minutes(minute) + std::chrono::seconds(second) +
         std::chrono::milliseconds(millisecond);
}

// Splits text that starts with a field into its fields. A quoted value may contain spaces.
std::vector<std::pair<std::string, std::string>> ParseFields(std::string_view text) {
  std::vector<std::pair<std::string, std::string>> fields;
  while (!text.empty()) {
    const std::size_t equals = text.find('=');
    if (equals == std::string_view::npos) {
      break;
    }
    const std::string_view name = text.substr(0, equals);
    text.remove_prefix(equals + 1);
    const bool quoted = !text.empty() && text.front() == '"';
    if (quoted) {
      text.remove_prefix(1);
    }
    const std::size_t end = std::min(text.find(quoted ? '"' : ' '), text.size());
    fields.emplace_back(name, text.substr(0, end));
    text.remove_prefix(end);
    const std::size_t next = text.find_first_not_of("\" ");
    text.remove_prefix(std::min(next, text.size()));
  }
  return fields;
}

}  // namespace

std::optional<LogLine> LogLine::Parse(std::string_view line, std::string_view default_source) {
  const std::size_t begin = line.find(kEvent);
  if (begin == std::string_view::npos) {
    return std::nullopt;
  }
  while (!line.empty() && (line.back() == '\r' || line.back() == '\n')) {
    line.remove_suffix(1);
  }
  LogLine parsed;
  const std::string prefix(line.substr(0, begin));
  if (const auto date = ParseDate(prefix); date.has_value()) {
    parsed.time = *date;
    // The text after "time=" or "[", up to the end of the milliseconds.
    const std::size_t first = prefix.find_first_of("0123456789");
    parsed.date = prefix.substr(first, prefix.find_first_of("Z]") - first);
    parsed.source = std::string(default_source);
  } else {
    char* end = nullptr;
    const double seconds = std::strtod(prefix.c_str(), &end);
    if (end == prefix.c_str() || !std::isfinite(seconds)) {
      return std::nullopt;
    }
    parsed.time = std::chrono::milliseconds(std::llround(seconds * 1000));
    const std::string rest(end);
    const std::size_t first = rest.find_first_not_of(' ');
    parsed.source = first == std::string::npos ? std::string(default_source)
                                               : rest.substr(first, rest.find(' ', first) - first);
  }
  parsed.text = std::string(line.substr(begin));
  parsed.fields = ParseFields(parsed.text);
  return parsed;
}

std::string_view LogLine::Field(std::string_view name) const {
  const auto found = std::find_if(this->fields.begin(), this->fields.end(),
                                  [name](const auto& field) { return field.first == name; });
  return found == this->fields.end() ? std::string_view() : std::string_view(found->second);
}

double LogLine::Number(std::string_view name) const {
  return std::strtod(std::string(this->Field(name)).c_str(), nullptr);
}

}  // namespace masticpin
