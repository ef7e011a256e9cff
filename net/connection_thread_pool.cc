#include "net/connection_thread_pool.h"

#include <spdlog/spdlog.h>

#include <cassert>
#include <cstdlib>
#include <utility>

namespace masticpin {

namespace {

// One node may hold 1,400 connections. With the default stack size of 8 MiB, the stacks alone would
// reserve 11 GiB of address space.
#if defined(__SANITIZE_THREAD__) || defined(__SANITIZE_ADDRESS__)
// Sanitizers place thread-local state on the stack and enlarge stack frames: ThreadSanitizer left
// only 128 KiB of 256 KiB, less than the longest path that HttpServer accepts needs.
constexpr std::size_t kStackBytes = 1024UL * 1024;
#else
constexpr std::size_t kStackBytes = 256UL * 1024;
#endif

}  // namespace

ConnectionThreadPool::ConnectionThreadPool(std::size_t max_threads) : max_threads(max_threads) {
  assert(max_threads > 0);
}

ConnectionThreadPool::~ConnectionThreadPool() {
  this->shutdown();
}

void ConnectionThreadPool::enqueue(std::function<void()> task) {
  const std::lock_guard lock(this->mutex);
  this->tasks.push_back(std::move(task));
  // An idle thread that was notified but has not run yet still counts as idle, so the number of
  // idle threads is compared with the number of queued tasks.
  if (this->tasks.size() > this->idle && this->threads.size() < this->max_threads &&
      !this->StartThread() && this->threads.empty()) {
    // Without any thread the connection would never be served, and dropping the task would not
    // close it, so the process must not continue.
    spdlog::critical("event=thread_start_failed");
    std::abort();
  }
  this->task_ready.notify_one();
}

void ConnectionThreadPool::shutdown() {
  std::vector<pthread_t> ending;
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
    ending.swap(this->threads);
  }
  this->task_ready.notify_all();
  for (const pthread_t thread : ending) {
    pthread_join(thread, nullptr);
  }
}

bool ConnectionThreadPool::StartThread() {
  pthread_attr_t attributes;
  pthread_attr_init(&attributes);
  pthread_attr_setstacksize(&attributes, kStackBytes);
  pthread_t thread{};
  const int error = pthread_create(&thread, &attributes, &ConnectionThreadPool::RunThread, this);
  pthread_attr_destroy(&attributes);
  if (error != 0) {
    spdlog::warn("event=thread_start_failed error={}", error);
    return false;
  }
  this->threads.push_back(thread);
  return true;
}

void* ConnectionThreadPool::RunThread(void* pool) {
  static_cast<ConnectionThreadPool*>(pool)->Run();
  return nullptr;
}

void ConnectionThreadPool::Run() {
  std::unique_lock lock(this->mutex);
  while (true) {
    ++this->idle;
    this->task_ready.wait(lock, [this] { return !this->tasks.empty() || this->stopping; });
    --this->idle;
    if (this->tasks.empty()) {
      return;
    }
    std::function<void()> task = std::move(this->tasks.front());
    this->tasks.pop_front();
    lock.unlock();
    task();
    // Destroy the task's captures while the lock is not held.
    task = nullptr;
    lock.lock();
  }
}

}  // namespace masticpin
