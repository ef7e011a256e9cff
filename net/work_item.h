#pragma once

#include <boost/intrusive/list_hook.hpp>

namespace masticpin {

/// Work for a WorkerPool. The owner must keep it alive until Run() has been called.
class WorkItem : public boost::intrusive::list_base_hook<> {
 public:
  virtual ~WorkItem() = default;

  /// Called once for each Post(), on one of the pool's threads.
  virtual void Run() = 0;
};

}  // namespace masticpin
