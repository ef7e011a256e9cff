#include "masticpin/base/ini_section_reader.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace masticpin {
namespace {

// Enough to recognize a value in a message.
constexpr std::size_t kMaxQuotedBytes = 60;

}  // namespace

std::optional<std::uint64_t> IniSectionReader::TakeNumber(std::string_view key,
                                                          std::uint64_t min,
                                                          std::uint64_t max,
                                                          IniPresence presence) {
  const IniEntry* entry = this->TakeEntry(key, presence);
  if (entry == nullptr) {
    return std::nullopt;
  }
  std::uint64_t number = 0;
  const char* const end = entry->value.data() + entry->value.size();
  const auto [parsed, error] = std::from_chars(entry->value.data(), end, number);
  if (error != std::errc() || parsed != end || number < min || number > max) {
    this->Report(*entry, "must be a whole number from " + std::to_string(min) + " to " +
                             std::to_string(max) + ", not " + QuoteValue(entry->value));
    return std::nullopt;
  }
  return number;
}

std::optional<bool> IniSectionReader::TakeChoice(std::string_view key,
                                                 std::string_view if_true,
                                                 std::string_view if_false) {
  const IniEntry* entry = this->TakeEntry(key, IniPresence::kRequired);
  if (entry == nullptr) {
    return std::nullopt;
  }
  if (entry->value != if_true && entry->value != if_false) {
    this->Report(*entry, "must be " + std::string(if_true) + " or " + std::string(if_false) +
                             ", not " + QuoteValue(entry->value));
    return std::nullopt;
  }
  return entry->value == if_true;
}

std::optional<std::string> IniSectionReader::TakeName(std::string_view key) {
  const IniEntry* entry = this->TakeEntry(key, IniPresence::kRequired);
  if (entry == nullptr) {
    return std::nullopt;
  }
  if (!IsValidName(entry->value)) {
    this->Report(*entry,
                 "must be " + std::string(kAllowedNames) + ", not " + QuoteValue(entry->value));
    return std::nullopt;
  }
  return entry->value;
}

const IniEntry* IniSectionReader::TakeEntry(std::string_view key, IniPresence presence) {
  this->known_keys.push_back(key);
  const auto& entries = this->section->entries;
  const auto found = std::find_if(entries.begin(), entries.end(),
                                  [&](const IniEntry& entry) { return entry.key == key; });
  if (found != entries.end()) {
    return &*found;
  }
  if (presence == IniPresence::kRequired) {
    this->problems->Add(this->section->line, this->section->name, key,
                        "missing key; it is required in this section");
  }
  return nullptr;
}

void IniSectionReader::Report(const IniEntry& entry, std::string message) {
  this->problems->Add(entry.line, this->section->name, entry.key, std::move(message));
}

void IniSectionReader::ReportUnknownKeys() {
  std::string allowed;
  for (const std::string_view key : this->known_keys) {
    allowed.append(allowed.empty() ? "" : ", ").append(key);
  }
  for (const IniEntry& entry : this->section->entries) {
    if (std::find(this->known_keys.begin(), this->known_keys.end(), entry.key) ==
        this->known_keys.end()) {
      this->Report(entry, "unknown key; allowed keys: " + allowed);
    }
  }
}

bool IsValidName(std::string_view name) {
  return !name.empty() && name.size() <= kMaxNameLength &&
         name.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") == std::string_view::npos;
}

std::string QuoteValue(std::string_view value) {
  if (value.size() <= kMaxQuotedBytes) {
    return "\"" + std::string(value) + "\"";
  }
  // Truncates at a character boundary, not inside a UTF-8 sequence.
  std::size_t length = kMaxQuotedBytes;
  while (length > 0 && (static_cast<unsigned char>(value[length]) & 0xC0U) == 0x80U) {
    --length;
  }
  return "\"" + std::string(value.substr(0, length)) + "...\"";
}

}  // namespace masticpin
