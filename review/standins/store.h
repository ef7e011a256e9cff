#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "review/standins/http_service.h"

namespace review {

/// The platform's metadata store, as far as a node reads it.
class Store : public HttpService {
 public:
  ~Store() override { this->StopStore(); }

  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
  };
  struct Event {
    std::string key;
    Item item;
    bool removed = false;
  };

  void StopStore();
  void Serve(HttpConnection& connection) override;
  /// Returns the status line's status and the body.
  std::pair<int, std::string> Answer(const std::string& target);
  std::pair<int, std::string> Watch(std::string_view prefix,
                                    std::uint64_t after,
                                    Milliseconds wait);
  std::string RevisionField() const;
  static std::string ToJson(const std::string& key, const Item& item);

  std::mutex store_mutex;
  std::condition_variable changed;
  std::map<std::string, Item> items;
  std::vector<Event> events;
  std::uint64_t revision = 100;
};

}  // namespace review
