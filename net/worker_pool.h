#pragma once

#include <boost/intrusive/list.hpp>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <thread>
#include <vector>

#include "net/work_item.h"

namespace masticpin {

/// Threads for blocking work, such as calls to the upstream or the platform. Starts a thread when
/// all others are busy, up to a maximum.
class WorkerPool {
 public:
  explicit WorkerPool(std::size_t max_threads);
  ~WorkerPool();

  /// Runs `item` on one of the threads. Items start in the order in which they were posted.
  /// Thread-safe.
  void Post(WorkItem& item);

  /// Raises the maximum; a lower value than before is ignored. Thread-safe.
  void SetMaxThreads(std::size_t count);

  /// Runs all posted items, including those that running items post, then ends the threads.
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
