#pragma once

#include <boost/intrusive/list.hpp>

#include "masticpin/base/time.h"

namespace masticpin {

class AllotmentWaiter;

using AllotmentWaiterHook =
    boost::intrusive::list_base_hook<boost::intrusive::tag<AllotmentWaiter>,
                                     boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// A request that waits for the decision of the owner of its account's allotment. It may stop
/// waiting at any time by unlinking itself.
class AllotmentWaiter : public AllotmentWaiterHook {
 public:
  virtual ~AllotmentWaiter() = default;

  /// Called once with the decision; the waiter is no longer linked then.
  virtual void OnAllotmentDecision(bool admitted) = 0;

 private:
  friend class AllotmentExchange;

  TimePoint waiting_since{};
};

using AllotmentWaiterList = boost::intrusive::list<AllotmentWaiter,
                                                   boost::intrusive::base_hook<AllotmentWaiterHook>,
                                                   boost::intrusive::constant_time_size<false>>;

}  // namespace masticpin
