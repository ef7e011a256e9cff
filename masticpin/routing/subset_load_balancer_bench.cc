#include "masticpin/routing/subset_load_balancer.h"

#include <benchmark/benchmark.h>

#include <atomic>
#include <cstdlib>
#include <new>

#include "masticpin/testing/fake_clock.h"
#include "masticpin/testing/seeded_random.h"

namespace {

std::atomic<std::uint64_t> allocations = 0;

}  // namespace

// Counts allocations. The symbols are weak so that another benchmark of the same program may
// replace them; the benchmark below checks that allocations are counted.
__attribute__((weak)) void* operator new(std::size_t size) {
  allocations.fetch_add(1, std::memory_order_relaxed);
  void* memory = std::malloc(size);
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  return memory;
}

__attribute__((weak)) void operator delete(void* memory) noexcept {
  std::free(memory);
}

__attribute__((weak)) void operator delete(void* memory, std::size_t /*size*/) noexcept {
  std::free(memory);
}

namespace masticpin {
namespace {

// One decision as the home node makes it: choose an instance, record the request, and apply the
// load report of the reply.
void SelectInstance(benchmark::State& state) {
  FakeClock clock;
  SeededRandom random(1);
  Member self;
  self.id = InstanceId{"self", 1};
  self.service = "callers";
  self.zone = "z0";
  MemberTable members(clock, self);
  ThresholdCache thresholds(clock);
  SubsetLoadBalancer balancer(members, thresholds, clock, random);
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    wire::Member member;
    member.set_name("server-" + std::to_string(i));
    member.set_incarnation(static_cast<std::uint64_t>(i) + 100);
    member.set_service("ballot");
    member.set_zone("z" + std::to_string(i % 3));
    members.ApplySender(member, 1);
  }
  clock.Advance(std::chrono::seconds(11));
  for (const Ref<Member>& member : members.Members()) {
    balancer.OnLoad(member->id, LoadReport{60, 30, 0, 0});
  }
  SelectionRequest request;
  request.service = "ballot";
  request.priority = Priority{5, 0};
  std::uint64_t before = allocations;
  ::operator delete(::operator new(1));
  if (allocations == before) {
    state.SkipWithError("allocations are not counted");
    return;
  }
  before = allocations;
  for (auto _ : state) {
    const Ref<const Member> chosen = balancer.Select(request);
    balancer.OnSent(chosen->id);
    balancer.OnReply(chosen->id);
    balancer.OnLoad(chosen->id, LoadReport{60, 30, 0, 0});
  }
  state.counters["allocations"] = benchmark::Counter(static_cast<double>(allocations - before),
                                                     benchmark::Counter::kAvgIterations);
}
BENCHMARK(SelectInstance)->Arg(10)->Arg(100)->Arg(1000);

// The rare case that no instance of the subset is usable.
void SelectOutsideTheSubset(benchmark::State& state) {
  FakeClock clock;
  SeededRandom random(1);
  Member self;
  self.id = InstanceId{"self", 1};
  self.zone = "z0";
  MemberTable members(clock, self);
  ThresholdCache thresholds(clock);
  SubsetLoadBalancer balancer(members, thresholds, clock, random);
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    wire::Member member;
    member.set_name("server-" + std::to_string(i));
    member.set_incarnation(static_cast<std::uint64_t>(i) + 100);
    member.set_service("ballot");
    member.set_zone("z" + std::to_string(i % 3));
    members.ApplySender(member, 1);
  }
  for (const Ref<const Member>& member : balancer.Subset("ballot")) {
    balancer.OnFailure(member->id);
  }
  SelectionRequest request;
  request.service = "ballot";
  const std::uint64_t before = allocations;
  for (auto _ : state) {
    benchmark::DoNotOptimize(balancer.Select(request));
  }
  state.counters["allocations"] = benchmark::Counter(static_cast<double>(allocations - before),
                                                     benchmark::Counter::kAvgIterations);
}
BENCHMARK(SelectOutsideTheSubset)->Arg(100)->Arg(1000);

}  // namespace
}  // namespace masticpin
