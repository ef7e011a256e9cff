#pragma once

#include <boost/intrusive/set.hpp>
#include <cstddef>

#include "masticpin/admission/admission_request.h"

namespace masticpin {

/// Waiting requests, ordered by priority and, within one priority, by arrival. All operations take
/// O(log n) and do not allocate. Not thread-safe.
class AdmissionQueue {
 public:
  ~AdmissionQueue();

  bool IsEmpty() const { return this->by_priority.empty(); }
  std::size_t Size() const { return this->by_priority.size(); }

  /// Adds `request`, which must not be in a queue, and stores its `expiry`.
  void Insert(AdmissionRequest& request, TimePoint expiry);

  /// Removes `request`, which must be in this queue.
  void Remove(AdmissionRequest& request);

  /// The request to admit next: the one with the highest priority; among equal ones, the first to
  /// arrive. The queue must not be empty.
  AdmissionRequest& HighestPriority();

  /// The request to evict next: the one with the lowest priority; among equal ones, the last to
  /// arrive. The queue must not be empty.
  AdmissionRequest& LowestPriority();

  /// The request with the earliest expiry. The queue must not be empty.
  AdmissionRequest& EarliestExpiry();

  /// Exchanges the contents of both queues.
  void Swap(AdmissionQueue& other);

 private:
  struct HigherPriority {
    bool operator()(const AdmissionRequest& a, const AdmissionRequest& b) const {
      return a.priority > b.priority;
    }
  };
  struct EarlierExpiry {
    bool operator()(const AdmissionRequest& a, const AdmissionRequest& b) const {
      return a.expiry < b.expiry;
    }
  };
  using ByPriority =
      boost::intrusive::multiset<AdmissionRequest,
                                 boost::intrusive::compare<HigherPriority>,
                                 boost::intrusive::member_hook<AdmissionRequest,
                                                               boost::intrusive::set_member_hook<>,
                                                               &AdmissionRequest::priority_hook>>;
  using ByExpiry =
      boost::intrusive::multiset<AdmissionRequest,
                                 boost::intrusive::compare<EarlierExpiry>,
                                 boost::intrusive::member_hook<AdmissionRequest,
                                                               boost::intrusive::set_member_hook<>,
                                                               &AdmissionRequest::expiry_hook>,
                                 boost::intrusive::constant_time_size<false>>;

  ByPriority by_priority;
  ByExpiry by_expiry;
};

}  // namespace masticpin
