#include "net/worker_pool.h"

#include <algorithm>

namespace masticpin {

WorkerPool::WorkerPool(std::size_t max_threads) : max_threads(max_threads) {}

WorkerPool::~WorkerPool() {
  this->Stop();
}

void WorkerPool::Post(WorkItem& item) {
  const std::lock_guard lock(this->mutex);
  this->items.push_back(item);
  if (this->idle < this->items.size() && this->threads.size() < this->max_threads) {
    this->threads.emplace_back([this] { this->Run(); });
  }
  this->item_ready.notify_one();
}

void WorkerPool::SetMaxThreads(std::size_t count) {
  const std::lock_guard lock(this->mutex);
  this->max_threads = std::max(this->max_threads, count);
}

void WorkerPool::Stop() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
    this->item_ready.notify_all();
  }
  // A running item may post another one, which may start a thread. So the list is moved out before
  // the threads are joined, and checked again afterwards.
  for (;;) {
    std::vector<std::thread> ending;
    {
      const std::lock_guard lock(this->mutex);
      ending.swap(this->threads);
    }
    if (ending.empty()) {
      return;
    }
    for (std::thread& thread : ending) {
      thread.join();
    }
  }
}

void WorkerPool::Run() {
  std::unique_lock lock(this->mutex);
  for (;;) {
    ++this->idle;
    this->item_ready.wait(lock, [this] { return this->stopping || !this->items.empty(); });
    --this->idle;
    if (this->items.empty()) {
      return;
    }
    WorkItem& item = this->items.front();
    this->items.pop_front();
    lock.unlock();
    item.Run();
    lock.lock();
  }
}

}  // namespace masticpin
