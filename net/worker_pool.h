#pragma once

#include <boost/intrusive/list.hpp>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <thread>
#include <vector>

#include "net/work_item.h"

namespace masticpin {

/// Threads that wait for the upstream. Starts a thread when all others are busy, up to a bound.
class WorkerPool {
 public:
  explicit WorkerPool(std::size_t max_threads);
  ~WorkerPool();

  /// Runs `item` on one of the threads, in the order of the calls. Thread-safe.
  void Post(WorkItem& item);

  /// Raises the bound; a lower one than before is ignored. Thread-safe.
  void SetMaxThreads(std::size_t count);

  /// Runs what was posted, also by items that run meanwhile, then ends the threads.
  void Stop();

 private:
  void Run();

  std::mutex mutex;
  std::condition_variable item_ready;
  boost::intrusive::list<WorkItem> items;
  std::size_t max_threads;
  std::size_t idle = 0;
  bool stopping = false;
  std::vector<std::thread> threads;
};

}  // namespace masticpin
