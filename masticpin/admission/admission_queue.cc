#include "masticpin/admission/admission_queue.h"

#include <cassert>

namespace masticpin {

AdmissionQueue::~AdmissionQueue() {
  assert(this->by_priority.empty());
}

void AdmissionQueue::Insert(AdmissionRequest& request, TimePoint expiry) {
  assert(!request.priority_hook.is_linked() && !request.expiry_hook.is_linked());
  request.expiry = expiry;
  // A multiset inserts after equal elements, which preserves the order of arrival.
  this->by_priority.insert(request);
  // Most requests have the same maximum wait, so the newest one usually expires last.
  this->by_expiry.insert(this->by_expiry.end(), request);
}

void AdmissionQueue::Remove(AdmissionRequest& request) {
  assert(request.priority_hook.is_linked() && request.expiry_hook.is_linked());
  this->by_priority.erase(this->by_priority.iterator_to(request));
  this->by_expiry.erase(this->by_expiry.iterator_to(request));
}

AdmissionRequest& AdmissionQueue::HighestPriority() {
  assert(!this->by_priority.empty());
  return *this->by_priority.begin();
}

AdmissionRequest& AdmissionQueue::LowestPriority() {
  assert(!this->by_priority.empty());
  return *this->by_priority.rbegin();
}

AdmissionRequest& AdmissionQueue::EarliestExpiry() {
  assert(!this->by_expiry.empty());
  return *this->by_expiry.begin();
}

void AdmissionQueue::Swap(AdmissionQueue& other) {
  this->by_priority.swap(other.by_priority);
  this->by_expiry.swap(other.by_expiry);
}

}  // namespace masticpin
