#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
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

  /// Answers the calls of one connection until it ends or `stopping` says so. If `loses` returns
  /// true for a call's target, its answer is lost, and the connection returns nothing further.
  void ServeCalls(HttpConnection& connection,
                  const std::function<bool()>& stopping,
                  const std::function<bool(const std::string& target)>& loses);

  /// Number of answers given to all nodes.
  int Answers() const { return this->answers; }

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
  std::atomic<int> answers = 0;
};

/// A second address of the store, for a node whose calls are to be told from those of others.
class StoreFront : public HttpService {
 public:
  explicit StoreFront(Store& store) : store(store) {}
  ~StoreFront() override { this->Stop(); }

  /// From now on, answers to calls that wait for a change of `key` are lost, or no longer so.
  void LoseChangesOf(const std::string& key, bool on);

  /// Number of answers lost.
  int Lost() const { return this->lost; }

 private:
  void Serve(HttpConnection& connection) override;

  Store& store;
  std::mutex fault_mutex;
  std::string losing_key;
  std::atomic<int> lost = 0;
};

}  // namespace review
