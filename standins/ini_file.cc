#include "standins/ini_file.h"

#include <ini.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <iterator>

namespace masticpin::standins {

void IniSection::Add(std::string key, std::string value) {
  this->entries.emplace_back(std::move(key), std::move(value));
}

const std::string* IniSection::Find(std::string_view key) const {
  const auto found = std::find_if(this->entries.begin(), this->entries.end(),
                                  [key](const auto& entry) { return entry.first == key; });
  return found == this->entries.end() ? nullptr : &found->second;
}

std::string IniSection::Get(std::string_view key, std::string_view fallback) const {
  const std::string* value = this->Find(key);
  return value == nullptr ? std::string(fallback) : *value;
}

long IniSection::GetInt(std::string_view key, long fallback) const {
  const std::string* value = this->Find(key);
  long number = 0;
  if (value == nullptr ||
      std::from_chars(value->data(), value->data() + value->size(), number).ec != std::errc()) {
    return fallback;
  }
  return number;
}

double IniSection::GetDouble(std::string_view key, double fallback) const {
  const std::string* value = this->Find(key);
  double number = 0;
  if (value == nullptr ||
      std::from_chars(value->data(), value->data() + value->size(), number).ec != std::errc()) {
    return fallback;
  }
  return number;
}

bool IniSection::GetBool(std::string_view key, bool fallback) const {
  const std::string* value = this->Find(key);
  return value == nullptr ? fallback : *value == "yes";
}

Duration IniSection::GetMilliseconds(std::string_view key, Duration fallback) const {
  const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(fallback);
  return std::chrono::milliseconds(this->GetInt(key, milliseconds.count()));
}

std::vector<std::string> IniSection::GetList(std::string_view key) const {
  return SplitList(this->Get(key));
}

std::optional<IniFile> IniFile::Load(const std::string& path) {
  const std::optional<std::string> text = ReadFile(path);
  if (!text) {
    return std::nullopt;
  }
  return Parse(*text);
}

std::optional<IniFile> IniFile::Parse(const std::string& text) {
  IniFile file;
  const int line = ini_parse_string(text.c_str(), &IniFile::AddEntry, &file);
  if (line != 0) {
    spdlog::error("event=ini_syntax_error line={}", line);
    return std::nullopt;
  }
  return file;
}

int IniFile::AddEntry(void* file, const char* section, const char* key, const char* value) {
  auto& sections = static_cast<IniFile*>(file)->sections;
  if (sections.empty() || sections.back().Name() != section) {
    sections.emplace_back(section);
  }
  sections.back().Add(key, value);
  return 1;
}

const IniSection& IniFile::Section(std::string_view name) const {
  static const IniSection empty("");
  const auto found =
      std::find_if(this->sections.begin(), this->sections.end(),
                   [name](const IniSection& section) { return section.Name() == name; });
  return found == this->sections.end() ? empty : *found;
}

std::vector<std::pair<std::string, const IniSection*>> IniFile::SectionsOfType(
    std::string_view type) const {
  std::vector<std::pair<std::string, const IniSection*>> result;
  for (const IniSection& section : this->sections) {
    const std::string& name = section.Name();
    if (name.size() > type.size() && name.starts_with(type) && name[type.size()] == ' ') {
      result.emplace_back(name.substr(type.size() + 1), &section);
    }
  }
  return result;
}

std::vector<std::string> SplitList(std::string_view text) {
  constexpr std::string_view kBlanks = " \t";
  std::vector<std::string> elements;
  while (!text.empty()) {
    const std::size_t comma = std::min(text.find(','), text.size());
    std::string_view element = text.substr(0, comma);
    text.remove_prefix(std::min(comma + 1, text.size()));
    const std::size_t begin = element.find_first_not_of(kBlanks);
    if (begin != std::string_view::npos) {
      elements.emplace_back(element.substr(begin, element.find_last_not_of(kBlanks) - begin + 1));
    }
  }
  return elements;
}

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    spdlog::error("event=file_unreadable path={}", path);
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

}  // namespace masticpin::standins
