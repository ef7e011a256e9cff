#include "net/worker_pool.h"

#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <chrono>
#include <thread>

namespace masticpin {
namespace {

/// More threads than a vector holds without growing several times.
constexpr std::size_t kThreads = 64;

/// Time in which Stop() reaches its first join; the guarded fault needs this order of events only.
constexpr auto kStopBegins = std::chrono::milliseconds(20);

/// Posts the rest of the items from its own run, after the pool began to stop.
class PostingItem : public WorkItem {
 public:
  void Run() override {
    ++this->runs;
    if (this->pool == nullptr) {
      return;
    }
    std::this_thread::sleep_for(kStopBegins);
    for (PostingItem& item : *this->rest) {
      this->pool->Post(item);
    }
  }

  WorkerPool* pool = nullptr;
  std::array<PostingItem, kThreads>* rest = nullptr;
  std::atomic<int> runs = 0;
};

// Guards against a stop that walks the list of threads while a running item posts the next one: the
// list grew under the walk, and threads that were started during the stop were never joined.
TEST(WorkerPoolTest, ItemsPostedDuringTheStopRunBeforeItEnds) {
  std::array<PostingItem, kThreads> rest;
  PostingItem first;
  WorkerPool pool(kThreads);
  first.pool = &pool;
  first.rest = &rest;
  pool.Post(first);
  pool.Stop();
  EXPECT_EQ(first.runs, 1);
  for (const PostingItem& item : rest) {
    EXPECT_EQ(item.runs, 1);
  }
}

}  // namespace
}  // namespace masticpin
