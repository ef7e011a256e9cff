#include "load/key_pool.h"

#include <charconv>
#include <utility>

namespace masticpin::load {

namespace {

// Minimum remaining lifetime of a key, so that it does not expire while an action retries.
constexpr Duration kMinLifetime = std::chrono::seconds(20);

// Limits the size of the pool. Each request in progress uses at most one key, so more keys than
// Scenario::threads are not needed.
constexpr std::size_t kMaxKeys = 4096;

}  // namespace

void KeyPool::Add(std::string_view header, TimePoint now) {
  constexpr std::string_view kLifetimePrefix = "life=";
  const std::size_t semicolon = header.find(';');
  const std::size_t lifetime_position = header.find(kLifetimePrefix);
  if (semicolon == std::string_view::npos || lifetime_position == std::string_view::npos) {
    return;
  }
  const std::string_view number = header.substr(lifetime_position + kLifetimePrefix.size());
  long seconds = 0;
  if (std::from_chars(number.data(), number.data() + number.size(), seconds).ec != std::errc()) {
    return;
  }
  const std::lock_guard lock(this->mutex);
  if (this->entries.size() < kMaxKeys) {
    this->entries.push_back(
        {std::string(header.substr(0, semicolon)), now + std::chrono::seconds(seconds)});
  }
}

std::string KeyPool::Take(TimePoint now) {
  const std::lock_guard lock(this->mutex);
  while (!this->entries.empty()) {
    Entry entry = std::move(this->entries.back());
    this->entries.pop_back();
    if (entry.expires - now >= kMinLifetime) {
      return entry.key;
    }
  }
  return "";
}

}  // namespace masticpin::load
