#include "review/standins/store.h"

#include <cstdlib>

namespace review {
namespace {

constexpr std::size_t kPageItems = 500;

std::string EncodeBase64(const std::string& bytes) {
  constexpr std::string_view kAlphabet =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text.push_back(i + j <= bytes.size() ? kAlphabet[group >> (18 - 6 * j) & 63] : '=');
    }
  }
  return text;
}

/// Value of a query parameter without escapes.
std::string Parameter(const std::string& target, const std::string& name) {
  std::size_t begin = target.find('?');
  while (begin != std::string::npos) {
    const std::size_t end = target.find('&', begin + 1);
    const std::string pair = target.substr(begin + 1, end - begin - 1);
    if (pair.starts_with(name + "=")) {
      std::string value;
      for (std::size_t i = name.size() + 1; i < pair.size(); ++i) {
        if (pair[i] == '%' && i + 2 < pair.size()) {
          value.push_back(
              static_cast<char>(std::strtol(pair.substr(i + 1, 2).c_str(), nullptr, 16)));
          i += 2;
        } else {
          value.push_back(pair[i]);
        }
      }
      return value;
    }
    begin = end;
  }
  return "";
}

}  // namespace

void Store::StopStore() {
  // Waiting calls look for the stop at least this often; see Watch().
  this->changed.notify_all();
  this->Stop();
}

void Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(this->store_mutex);
  Item& item = this->items[key];
  item.value = value;
  item.revision = ++this->revision;
  if (item.created == 0) {
    item.created = item.revision;
  }
  this->events.push_back({key, item, false});
  this->changed.notify_all();
}

void Store::Remove(const std::string& key) {
  const std::lock_guard lock(this->store_mutex);
  if (this->items.erase(key) > 0) {
    Item removed;
    removed.revision = ++this->revision;
    this->events.push_back({key, removed, true});
    this->changed.notify_all();
  }
}

void Store::Serve(HttpConnection& connection) {
  this->ServeCalls(
      connection, [this] { return this->IsStopping(); }, [](const std::string&) { return false; });
}

void Store::ServeCalls(HttpConnection& connection,
                       const std::function<bool()>& stopping,
                       const std::function<bool(const std::string& target)>& loses) {
  HttpMessage request;
  bool silent = false;
  while (!stopping()) {
    const ReadResult result = connection.Read(request, Milliseconds(200));
    if (result == ReadResult::kTimeout) {
      continue;
    }
    if (result != ReadResult::kMessage) {
      return;
    }
    const std::size_t space = request.start_line.find(' ');
    const std::string target =
        request.start_line.substr(space + 1, request.start_line.find(' ', space + 1) - space - 1);
    if (silent) {
      continue;
    }
    const auto [status, body] = this->Answer(target);
    if (loses(target)) {
      silent = true;
      continue;
    }
    ++this->answers;
    connection.Write("HTTP/1.1 " + std::to_string(status) +
                     " Answer\r\nContent-Type: application/json\r\nContent-Length: " +
                     std::to_string(body.size()) + "\r\n\r\n" + body);
  }
}

std::pair<int, std::string> Store::Answer(const std::string& target) {
  if (target.starts_with("/v1/kv-watch?")) {
    return this->Watch(Parameter(target, "prefix"),
                       std::strtoull(Parameter(target, "after").c_str(), nullptr, 10),
                       Milliseconds(std::atoi(Parameter(target, "waitMs").c_str())));
  }
  const std::lock_guard lock(this->store_mutex);
  if (target.starts_with("/v1/kv-key?")) {
    const auto found = this->items.find(Parameter(target, "key"));
    if (found == this->items.end()) {
      return {404, "{" + this->RevisionField() + "}"};
    }
    std::string json = ToJson(found->first, found->second);
    json.pop_back();
    return {200, json + "," + this->RevisionField() + "}"};
  }
  if (target.starts_with("/v1/kv-range?")) {
    const std::string prefix = Parameter(target, "prefix");
    const std::string after = Parameter(target, "after");
    std::string list;
    std::size_t count = 0;
    bool more = false;
    for (const auto& [key, item] : this->items) {
      if (!key.starts_with(prefix) || key <= after) {
        continue;
      }
      if (++count > kPageItems) {
        more = true;
        break;
      }
      list += (list.empty() ? "" : ",") + ToJson(key, item);
    }
    return {200, "{\"items\":[" + list + "],\"hasMore\":" + (more ? "true" : "false") + "," +
                     this->RevisionField() + "}"};
  }
  return {404, "{}"};
}

std::pair<int, std::string> Store::Watch(std::string_view prefix,
                                         std::uint64_t after,
                                         Milliseconds wait) {
  const auto until = std::chrono::steady_clock::now() + wait;
  std::unique_lock lock(this->store_mutex);
  while (true) {
    std::string list;
    for (const Event& event : this->events) {
      if (event.item.revision <= after || !event.key.starts_with(prefix)) {
        continue;
      }
      const std::string json = event.removed
                                   ? "{\"key\":\"" + event.key +
                                         "\",\"revision\":" + std::to_string(event.item.revision) +
                                         ",\"removed\":true}"
                                   : ToJson(event.key, event.item);
      list += (list.empty() ? "" : ",") + json;
    }
    if (!list.empty() || this->IsStopping() || std::chrono::steady_clock::now() >= until) {
      return {200, "{\"events\":[" + list + "]," + this->RevisionField() + "}"};
    }
    this->changed.wait_for(lock, Milliseconds(100));
  }
}

void StoreFront::LoseChangesOf(const std::string& key, bool on) {
  const std::lock_guard lock(this->fault_mutex);
  this->losing_key = on ? key : "";
}

void StoreFront::Serve(HttpConnection& connection) {
  this->store.ServeCalls(
      connection, [this] { return this->IsStopping(); },
      [this](const std::string& target) {
        const std::lock_guard lock(this->fault_mutex);
        const bool hit = !this->losing_key.empty() && target.starts_with("/v1/kv-watch?") &&
                         Parameter(target, "prefix") == this->losing_key;
        this->lost += hit ? 1 : 0;
        return hit;
      });
}

std::string Store::RevisionField() const {
  return "\"currentRev\":" + std::to_string(this->revision);
}

std::string Store::ToJson(const std::string& key, const Item& item) {
  return "{\"key\":\"" + key + "\",\"value\":\"" + EncodeBase64(item.value) +
         "\",\"revision\":" + std::to_string(item.revision) +
         ",\"createdRev\":" + std::to_string(item.created) + ",\"lease\":0}";
}

}  // namespace review
