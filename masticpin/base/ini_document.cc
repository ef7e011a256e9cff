#include "masticpin/base/ini_document.h"

#include <ini.h>

#include <algorithm>
#include <boost/locale/utf.hpp>
#include <functional>
#include <set>
#include <utility>

namespace masticpin {
namespace {

constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";
constexpr std::string_view kWhitespace = " \t\r\v\f";

std::string_view Trim(std::string_view text) {
  const std::size_t first = text.find_first_not_of(kWhitespace);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kWhitespace) - first + 1);
}

// Removes a comment that follows whitespace. inih removes comments from "key = value" lines only,
// not from continuation lines.
std::string_view StripComment(std::string_view value) {
  for (std::size_t i = 1; i < value.size(); ++i) {
    if (value[i] == ';' && kWhitespace.find(value[i - 1]) != std::string_view::npos) {
      return Trim(value.substr(0, i));
    }
  }
  return value;
}

// Returns the offset of the first byte that is not part of plain UTF-8 text, or the size of the
// text if there is none. Control characters other than tab and line ends are rejected: inih works
// on C strings, which end at a NUL byte, and a terminal would interpret control characters when a
// value is printed.
std::size_t FindInvalidByte(std::string_view text) {
  using Utf8 = boost::locale::utf::utf_traits<char>;
  const char* position = text.data();
  const char* const end = position + text.size();
  while (position != end) {
    const char* const start = position;
    const boost::locale::utf::code_point point = Utf8::decode(position, end);
    const bool in_crlf = point == '\r' && position != end && *position == '\n';
    const bool control = (point < 0x20 && point != '\t' && point != '\n') || point == 0x7F;
    if (point == boost::locale::utf::illegal || point == boost::locale::utf::incomplete ||
        (control && !in_crlf)) {
      return static_cast<std::size_t>(start - text.data());
    }
  }
  return text.size();
}

// Feeds inih line by line and builds the document. inih does not give its handler line numbers or
// section starts and reports only the first invalid line, so each line is classified here again
// after inih has read it.
class Builder {
 public:
  Builder(std::string_view text, IniProblemList& problems) : rest(text), problems(&problems) {}

  IniDocument Build() {
    ini_parse_stream(&Builder::ReadLine, this, &Builder::HandleEntry, this);
    this->FinishLine();
    return std::move(this->document);
  }

 private:
  // Line reader that inih calls in place of fgets().
  static char* ReadLine(char* buffer, int size, void* user) {
    auto* self = static_cast<Builder*>(user);
    self->FinishLine();
    if (self->rest.empty()) {
      return nullptr;
    }
    const std::size_t length = std::min(self->rest.find('\n'), self->rest.size());
    self->line = self->rest.substr(0, length);
    self->rest.remove_prefix(std::min(length + 1, self->rest.size()));
    ++self->line_number;
    self->entry_seen = false;
    // The buffer also holds the line end and the terminating NUL. inih would silently split a
    // longer line.
    const std::size_t limit = static_cast<std::size_t>(size) - 2;
    if (self->line.size() > limit) {
      self->problems->Add(self->line_number, self->SectionName(), "",
                          "a line has at most " + std::to_string(limit) +
                              " bytes; a list may continue on an indented line after a comma");
      self->line = {};
    }
    self->line.copy(buffer, self->line.size());
    buffer[self->line.size()] = '\n';
    buffer[self->line.size() + 1] = '\0';
    return buffer;
  }

  static int HandleEntry(void* user, const char* /*section*/, const char* key, const char* value) {
    static_cast<Builder*>(user)->AddEntry(key, value);
    return 1;
  }

  void AddEntry(std::string_view key, std::string_view value) {
    this->entry_seen = true;
    if (this->document.sections.empty()) {
      this->problems->Add(this->line_number, "", key,
                          "a key must follow a section heading such as [name]");
      return;
    }
    IniSection& section = this->document.sections.back();
    const bool indented = kWhitespace.find(this->line.front()) != std::string_view::npos;
    if (indented && !section.entries.empty()) {
      IniEntry& entry = section.entries.back();
      if (entry.value.ends_with(',')) {
        entry.value.append(" ").append(StripComment(value));
      } else {
        this->problems->Add(this->line_number, section.name, "",
                            "an indented line is allowed only after a value that ends with a "
                            "comma; start a key in the first column");
      }
      return;
    }
    if (!this->keys.insert(std::string(key)).second) {
      this->problems->Add(this->line_number, section.name, key,
                          "duplicate key; a key is allowed once in a section");
      return;
    }
    section.entries.push_back({std::string(key), std::string(value), this->line_number});
  }

  // Classifies the line that inih has just read if it was not an entry.
  void FinishLine() {
    const std::string_view text = Trim(std::exchange(this->line, {}));
    if (this->entry_seen || text.empty() || text.front() == ';' || text.front() == '#') {
      return;
    }
    const std::size_t end = text.find(']');
    if (text.front() == '[' && end != std::string_view::npos) {
      this->StartSection(Trim(text.substr(1, end - 1)), Trim(text.substr(end + 1)));
      return;
    }
    this->problems->Add(this->line_number, this->SectionName(), "",
                        "expected \"key = value\", \"[section]\" or a comment");
  }

  void StartSection(std::string_view name, std::string_view remainder) {
    if (!remainder.empty() && remainder.front() != ';' && remainder.front() != '#') {
      this->problems->Add(this->line_number, name, "",
                          "only a comment is allowed after a section heading");
    }
    if (!this->names.insert(std::string(name)).second) {
      this->problems->Add(this->line_number, name, "",
                          "duplicate section; a section is allowed once");
    }
    this->document.sections.push_back({std::string(name), this->line_number, {}});
    this->keys.clear();
  }

  std::string_view SectionName() const {
    return this->document.sections.empty() ? std::string_view()
                                           : std::string_view(this->document.sections.back().name);
  }

  std::string_view rest;
  IniProblemList* problems;
  IniDocument document;
  std::set<std::string, std::less<>> names;
  // Keys seen in the current section.
  std::set<std::string, std::less<>> keys;
  std::string_view line;
  int line_number = 0;
  bool entry_seen = false;
};

}  // namespace

std::optional<IniDocument> ReadIniDocument(std::string_view text,
                                           std::size_t max_bytes,
                                           IniProblemList& problems) {
  if (text.size() > max_bytes) {
    problems.Add(0, "", "",
                 "the text has " + std::to_string(text.size()) + " bytes; at most " +
                     std::to_string(max_bytes) + " are allowed");
    return std::nullopt;
  }
  if (text.starts_with(kByteOrderMark)) {
    text.remove_prefix(kByteOrderMark.size());
  }
  const std::size_t invalid = FindInvalidByte(text);
  if (invalid != text.size()) {
    const auto line = std::count(text.begin(), text.begin() + static_cast<long>(invalid), '\n') + 1;
    problems.Add(static_cast<int>(line), "", "",
                 "only UTF-8 text without control characters is allowed");
    return std::nullopt;
  }
  return Builder(text, problems).Build();
}

}  // namespace masticpin
