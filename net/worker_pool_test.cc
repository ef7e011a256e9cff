#include "net/worker_pool.h"

#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <chrono>
#include <thread>

namespace masticpin {
namespace {

/// Enough threads to make the vector of threads grow several times.
constexpr std::size_t kThreads = 64;

/// Enough time for Stop() to reach its first join: the fault only occurs if the items are posted
/// after that.
constexpr auto kStopDelay = std::chrono::milliseconds(20);

/// Posts the remaining items while it runs, after the pool has begun to stop.
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

// Guards against a Stop() that iterates over the list of threads while a running item posts further
// items: the list grew during the iteration, and threads started during the stop were never joined.
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
