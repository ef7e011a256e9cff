#include "standins/config_store.h"

#include "standins/ini_file.h"

namespace masticpin::standins {

std::optional<ConfigFault> ParseConfigFault(const std::string& name) {
  if (name == "none") {
    return ConfigFault::kNone;
  }
  if (name == "down") {
    return ConfigFault::kDown;
  }
  if (name == "stale") {
    return ConfigFault::kStale;
  }
  if (name == "back") {
    return ConfigFault::kFirstVersion;
  }
  return std::nullopt;
}

void ConfigStore::Publish(const std::string& name, const std::string& text) {
  const std::optional<IniFile> file = IniFile::Parse(text);
  const long manifest_version = file ? file->Section("manifest").GetInt("version", 0) : 0;
  const std::lock_guard lock(this->mutex);
  std::vector<Document>& values = this->documents[name];
  const std::uint64_t next = values.empty() ? 1 : values.back().version + 1;
  values.push_back(
      {manifest_version > 0 ? static_cast<std::uint64_t>(manifest_version) : next, text});
}

void ConfigStore::SetFault(ConfigFault value) {
  const std::lock_guard lock(this->mutex);
  if (value == ConfigFault::kStale && this->fault != ConfigFault::kStale) {
    this->visible_when_stale.clear();
    for (const auto& [name, values] : this->documents) {
      this->visible_when_stale[name] = values.size();
    }
  }
  this->fault = value;
}

bool ConfigStore::CountCall() {
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->clock.Now();
  if (now - this->second_started_at >= std::chrono::seconds(1)) {
    this->second_started_at = now;
    this->calls_in_second = 0;
  }
  ++this->calls;
  if (this->calls_in_second >= this->calls_per_second) {
    ++this->refused_calls;
    return false;
  }
  ++this->calls_in_second;
  return true;
}

ConfigStore::ReadResult ConfigStore::Peek(const std::string& name) const {
  const std::lock_guard lock(this->mutex);
  if (this->fault == ConfigFault::kDown) {
    return {ReadStatus::kDown, {}};
  }
  const auto found = this->documents.find(name);
  if (found == this->documents.end()) {
    return {ReadStatus::kAbsent, {}};
  }
  const std::vector<Document>& values = found->second;
  std::size_t visible = values.size();
  if (this->fault == ConfigFault::kFirstVersion) {
    visible = 1;
  } else if (this->fault == ConfigFault::kStale) {
    const auto stale = this->visible_when_stale.find(name);
    visible = stale == this->visible_when_stale.end() ? 0 : stale->second;
  }
  if (visible == 0) {
    return {ReadStatus::kAbsent, {}};
  }
  return {ReadStatus::kFound, values[visible - 1]};
}

ConfigStore::ReadResult ConfigStore::Read(const std::string& name) {
  return this->CountCall() ? this->Peek(name) : ReadResult{ReadStatus::kTooManyCalls, {}};
}

std::uint64_t ConfigStore::Calls() const {
  const std::lock_guard lock(this->mutex);
  return this->calls;
}

std::uint64_t ConfigStore::RefusedCalls() const {
  const std::lock_guard lock(this->mutex);
  return this->refused_calls;
}

}  // namespace masticpin::standins
