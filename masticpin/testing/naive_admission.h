#pragma once

#include <deque>

#include "masticpin/testing/admission_policy.h"

namespace masticpin {

/// The admission control that masticpin is compared with: a fixed limit and a bounded FIFO queue.
/// It ignores importance, deadlines and whether the caller still waits.
class NaiveAdmission : public AdmissionPolicy {
 public:
  NaiveAdmission(std::uint32_t limit, std::size_t capacity) : limit(limit), capacity(capacity) {}

  void Offer(AdmissionRequest& request) override {
    if (this->in_flight < this->limit) {
      ++this->in_flight;
      request.OnAdmitted();
    } else if (this->waiting.size() < this->capacity) {
      this->waiting.push_back(&request);
    } else {
      request.OnRefused(ErrorKind::kOverloaded, std::chrono::milliseconds(100));
    }
  }

  bool Withdraw(AdmissionRequest&) override { return false; }

  void Complete(AdmissionRequest&, Completion, Duration) override {
    if (this->waiting.empty()) {
      --this->in_flight;
      return;
    }
    AdmissionRequest& next = *this->waiting.front();
    this->waiting.pop_front();
    next.OnAdmitted();
  }

 private:
  const std::uint32_t limit;
  const std::size_t capacity;
  std::uint32_t in_flight = 0;
  std::deque<AdmissionRequest*> waiting;
};

}  // namespace masticpin
