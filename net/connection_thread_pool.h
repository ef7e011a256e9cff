#pragma once

#include <httplib.h>
#include <pthread.h>

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <vector>

namespace masticpin {

/// Thread pool of an HTTP server in which each connection occupies one thread. Threads are started
/// on demand up to a maximum; further connections wait for a free thread.
class ConnectionThreadPool : public httplib::TaskQueue {
 public:
  /// Does not start any thread. `max_threads` must not be 0.
  explicit ConnectionThreadPool(std::size_t max_threads);
  ConnectionThreadPool(const ConnectionThreadPool&) = delete;
  ConnectionThreadPool& operator=(const ConnectionThreadPool&) = delete;
  ~ConnectionThreadPool() override;

  void enqueue(std::function<void()> task) override;  // NOLINT(readability-identifier-naming)
  /// Runs the queued tasks, then ends all threads.
  void shutdown() override;  // NOLINT(readability-identifier-naming)

 private:
  static void* RunThread(void* pool);
  void Run();
  bool StartThread();

  const std::size_t max_threads;
  std::mutex mutex;
  std::condition_variable task_ready;
  std::deque<std::function<void()>> tasks;
  std::vector<pthread_t> threads;
  std::size_t idle = 0;
  bool stopping = false;
};

}  // namespace masticpin
