#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <memory>
#include <vector>

#include "masticpin/attempts/instance_retry_budget.h"
#include "masticpin/testing/fake_clock.h"
#include "masticpin/testing/seeded_random.h"

namespace masticpin {
namespace {

/// Who decides whether a refused call is retried.
enum class Policy : std::uint8_t {
  /// No retries: the caller gets the first refusal.
  kNaive,
  /// The node that sends the call, from a budget that grows with the calls that it sends.
  kAtOrigin,
  /// The node of the instance that receives the retry, or the node of another instance.
  kAtInstance,
};

/// Simulates a deep service whose instances all refuse more than half of their requests for some
/// seconds, as in the heaviest recorded load. The load consists of requests of callers, which enter
/// at all nodes, and of two kinds of call chains, which need all of their inner calls to succeed
/// and are sent by the nodes of one other service.
class RefusalSimulation {
 public:
  struct Kind {
    std::uint32_t per_step;
    int calls;
    bool important;
    int worth;
  };
  /// Load in steps of 10 ms.
  static constexpr std::array<Kind, 3> kKinds = {
      {{9, 1, true, 2}, {9, 10, true, 3}, {21, 5, false, 1}}};

  explicit RefusalSimulation(Policy policy) : policy(policy) {
    InstanceRetryBudgetSettings settings;
    if (policy == Policy::kAtOrigin) {
      settings.inner_call_share = 1;
    }
    this->budgets.assign(policy == Policy::kAtOrigin ? kNodes : kInstances,
                         InstanceRetryBudget(this->clock, settings));
  }

  void Run() {
    for (int step = 0; step < kSteps; ++step) {
      this->clock.Advance(kStep);
      this->refusing = step >= kRefusalBegins;
      for (std::size_t kind = 0; kind < kKinds.size(); ++kind) {
        for (std::uint32_t i = 0; i < kKinds[kind].per_step; ++i) {
          this->chains.push_back(
              Chain{kind, kKinds[kind].calls, this->random.NextBelow(1000) / 1000.0});
          this->offered[kind] += this->refusing ? 1 : 0;
        }
      }
      this->arrivals.push_back(0);
      this->retries.push_back(0);
      // Each call chain makes one inner call per step.
      std::erase_if(this->chains, [this](Chain& chain) { return this->MakeCall(chain); });
    }
  }

  double Served(std::size_t kind) const {
    return this->served[kind] / static_cast<double>(this->offered[kind]);
  }

  int Worth() const {
    int worth = 0;
    for (std::size_t kind = 0; kind < kKinds.size(); ++kind) {
      worth += this->served[kind] * kKinds[kind].worth;
    }
    return worth;
  }

  /// Maximum over all windows of the number of retries minus the number that the retry budget
  /// allows.
  double Excess() const {
    const InstanceRetryBudgetSettings settings;
    const int width = static_cast<int>(settings.window / kStep);
    double excess = -1e9;
    for (int end = width; end <= kSteps; ++end) {
      const double counted = std::max({this->Sum(this->arrivals, end, width),
                                       this->Sum(this->arrivals, end - width, width),
                                       this->Sum(this->arrivals, end - width / 2, width)});
      excess = std::max(excess, this->Sum(this->retries, end, width) -
                                    (settings.ratio * counted + settings.slack));
    }
    return excess;
  }

 private:
  static constexpr std::size_t kNodes = 88;
  static constexpr std::size_t kChainNodes = 29;
  static constexpr std::size_t kInstances = 7;
  static constexpr Duration kStep = std::chrono::milliseconds(10);
  static constexpr int kSteps = 1850;
  static constexpr int kRefusalBegins = 1000;
  static constexpr int kMaxSends = 8;
  static constexpr double kRefusedShare = 0.55;

  struct Chain {
    std::size_t kind;
    int calls_left;
    double rank;
  };

  /// Returns whether the call chain has ended.
  bool MakeCall(Chain& chain) {
    const std::size_t origin = this->random.NextBelow(chain.kind == 0 ? kNodes : kChainNodes);
    std::size_t instance = this->random.NextBelow(kInstances);
    ++this->arrivals.back();
    this->budgets[this->policy == Policy::kAtOrigin ? origin : instance].OnRequest();
    for (int sends = 1; this->refusing && this->random.NextBelow(1000) < kRefusedShare * 1000;
         ++sends) {
      instance = this->random.NextBelow(kInstances);
      if (sends == kMaxSends || !this->MayRetry(chain, origin, instance)) {
        return true;
      }
      ++this->retries.back();
    }
    if (--chain.calls_left > 0) {
      return false;
    }
    this->served[chain.kind] += this->refusing ? 1 : 0;
    return true;
  }

  bool MayRetry(const Chain& chain, std::size_t origin, std::size_t instance) {
    const bool important = kKinds[chain.kind].important;
    const auto rank = chain.kind == 0 ? std::nullopt : std::optional<double>(chain.rank);
    if (this->policy == Policy::kNaive) {
      return false;
    }
    if (this->policy == Policy::kAtOrigin) {
      return this->budgets[origin].TryRetry(1, kNodes, important, rank);
    }
    if (this->budgets[instance].TryRetry(1, kInstances, important, rank)) {
      return true;
    }
    const auto most = std::max_element(
        this->budgets.begin(), this->budgets.end(), [](const auto& left, const auto& right) {
          return left.RetriesLeft(kInstances) < right.RetriesLeft(kInstances);
        });
    return most->TryRetry(1, kInstances, important, rank);
  }

  static double Sum(const std::vector<int>& values, int end, int width) {
    double sum = 0;
    for (int i = std::max(end - width, 0); i < std::max(end, 0); ++i) {
      sum += values[static_cast<std::size_t>(i)];
    }
    return sum;
  }

  const Policy policy;
  FakeClock clock;
  SeededRandom random{5};
  std::vector<InstanceRetryBudget> budgets;
  std::vector<Chain> chains;
  std::array<int, kKinds.size()> offered{};
  std::array<int, kKinds.size()> served{};
  /// First arrivals and retries, by step.
  std::vector<int> arrivals;
  std::vector<int> retries;
  bool refusing = false;
};

// Guards against a retry budget that callers of a refusing service cannot use because it belongs to
// the nodes that send inner calls: every second request of a caller failed until the refusals
// ended.
TEST(InstanceRetryBudgetLoadTest, CallersOfARefusingServiceAreServedBeforeChains) {
  RefusalSimulation naive(Policy::kNaive);
  RefusalSimulation at_origin(Policy::kAtOrigin);
  RefusalSimulation at_instance(Policy::kAtInstance);
  naive.Run();
  at_origin.Run();
  at_instance.Run();
  constexpr std::size_t kRequestsOfCallers = 0;
  EXPECT_GT(at_instance.Served(kRequestsOfCallers), 0.95);
  EXPECT_LT(at_origin.Served(kRequestsOfCallers), 0.8);
  EXPECT_LT(naive.Served(kRequestsOfCallers), 0.5);
  EXPECT_GT(at_instance.Worth(), at_origin.Worth());
  EXPECT_GT(at_instance.Worth(), naive.Worth());
  EXPECT_LE(at_instance.Excess(), 0);
}

}  // namespace
}  // namespace masticpin
