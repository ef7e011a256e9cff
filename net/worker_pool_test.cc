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
constexpr auto kStopDelay = std::chrono::milliseconds(20);

/// Posts the rest of the items from its own run, after the pool began to stop.
class PostingItem : public WorkItem {
 public:
  void Run() override {
    ++this->runs;
    if (this->pool == nullptr) {
      return;
    }
    std::this_thread::sleep_for(kStopDelay);
    for (PostingItem& item : *this->items_to_post) {
      this->pool->Post(item);
    }
  }

  WorkerPool* pool = nullptr;
  std::array<PostingItem, kThreads>* items_to_post = nullptr;
  std::atomic<int> runs = 0;
};

// Guards against a stop that walks the list of threads while a running item posts the next one: the
// list grew under the walk, and threads that were started during the stop were never joined.
TEST(WorkerPoolTest, ItemsPostedDuringStopRunBeforeItReturns) {
  std::array<PostingItem, kThreads> items_to_post;
  PostingItem first;
  WorkerPool pool(kThreads);
  first.pool = &pool;
  first.items_to_post = &items_to_post;
  pool.Post(first);
  pool.Stop();
  EXPECT_EQ(first.runs, 1);
  for (const PostingItem& item : items_to_post) {
    EXPECT_EQ(item.runs, 1);
  }
}

}  // namespace
}  // namespace masticpin
