#include <gtest/gtest.h>

#include <atomic>
#include <cstdlib>
#include <memory>
#include <new>
#include <vector>

#include "masticpin/admission/admission_controller.h"
#include "masticpin/testing/fake_clock.h"
#include "masticpin/testing/seeded_random.h"

namespace {

/// Number of allocations of the whole test program since its start.
std::atomic<std::uint64_t> allocation_count{0};

void* CountedAllocation(std::size_t size) {
  allocation_count.fetch_add(1, std::memory_order_relaxed);
  if (void* memory = std::malloc(size)) {
    return memory;
  }
  throw std::bad_alloc();
}

}  // namespace

void* operator new(std::size_t size) {
  return CountedAllocation(size);
}
void* operator new[](std::size_t size) {
  return CountedAllocation(size);
}
void operator delete(void* memory) noexcept {
  std::free(memory);
}
void operator delete[](void* memory) noexcept {
  std::free(memory);
}
void operator delete(void* memory, std::size_t) noexcept {
  std::free(memory);
}
void operator delete[](void* memory, std::size_t) noexcept {
  std::free(memory);
}

namespace masticpin {
namespace {

struct PlainRequest : AdmissionRequest {
  void OnAdmitted() override {}
  void OnRefused(ErrorKind, Duration) override {}
};

class AllocationTest : public testing::TestWithParam<std::size_t> {};

// Guards against memory allocation in the admission path: offers, completions, withdrawals,
// evictions, expiries and load reports. The parameter is the number of waiting requests.
TEST_P(AllocationTest, SteadyStateDoesNotAllocate) {
  FakeClock clock;
  SeededRandom random(1);
  AdmissionSettings settings;
  settings.ceiling = 1;
  settings.queue_capacity = GetParam();
  AdmissionController controller(settings, clock, clock, random);
  // The capacity of the queue, one request more, and the running one.
  std::vector<std::unique_ptr<PlainRequest>> requests;
  for (std::size_t i = 0; i < GetParam() + 2; ++i) {
    requests.push_back(std::make_unique<PlainRequest>());
  }
  const std::uint64_t before = allocation_count.load();
  for (int round = 0; round < 3; ++round) {
    for (const auto& request : requests) {
      if (request->GetState() == AdmissionRequest::State::kIdle) {
        request->priority = {static_cast<std::uint8_t>(random.NextBelow(10)),
                             static_cast<std::uint16_t>(random.Next())};
        request->deadline = clock.Now() + std::chrono::milliseconds(150);
        controller.Offer(*request);
      }
    }
    for (const auto& request : requests) {
      if (request->GetState() == AdmissionRequest::State::kAdmitted) {
        controller.Complete(*request, Completion::kSuccess, std::chrono::milliseconds(1));
        break;
      }
    }
    controller.Withdraw(*requests[GetParam() / 2]);
    controller.GetLoad();
    clock.Advance(std::chrono::milliseconds(200));
  }
  EXPECT_EQ(allocation_count.load() - before, 0U);
  EXPECT_GE(controller.Statistics().refused_overloaded, GetParam());

  controller.Drain();
  for (const auto& request : requests) {
    if (request->GetState() == AdmissionRequest::State::kAdmitted) {
      controller.Complete(*request, Completion::kSuccess, Duration::zero());
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Waiting, AllocationTest, testing::Values(10, 1000, 100000));

}  // namespace
}  // namespace masticpin
