#include <benchmark/benchmark.h>

#include <memory>
#include <utility>
#include <vector>

#include "masticpin/admission/admission_controller.h"
#include "masticpin/testing/fake_clock.h"
#include "masticpin/testing/seeded_random.h"

namespace masticpin {
namespace {

struct PlainRequest : AdmissionRequest {
  void OnAdmitted() override {}
  void OnRefused(ErrorKind, Duration) override {
    if (this->last_refused != nullptr) {
      *this->last_refused = this;
    }
  }

  PlainRequest** last_refused = nullptr;
};

/// A controller whose only slot is in use while `waiting` requests wait.
class FullController {
 public:
  explicit FullController(std::size_t waiting) {
    AdmissionSettings settings;
    settings.ceiling = 1;
    settings.queue_capacity = waiting;
    this->controller =
        std::make_unique<AdmissionController>(settings, this->clock, this->clock, this->random);
    for (std::size_t i = 0; i < waiting + 1; ++i) {
      this->requests.push_back(std::make_unique<PlainRequest>());
      this->requests.back()->last_refused = &this->last_refused;
      this->Offer(*this->requests.back());
    }
  }

  ~FullController() {
    this->controller->Drain();
    for (const auto& request : this->requests) {
      if (request->GetState() == AdmissionRequest::State::kAdmitted) {
        this->controller->Complete(*request, Completion::kCancelled, Duration::zero());
      }
    }
  }

  void Offer(PlainRequest& request) {
    request.priority = {static_cast<std::uint8_t>(this->random.NextBelow(10)),
                        static_cast<std::uint16_t>(this->random.Next())};
    request.deadline = this->clock.Now() + std::chrono::seconds(1);
    this->controller->Offer(request);
  }

  FakeClock clock;
  SeededRandom random{1};
  std::unique_ptr<AdmissionController> controller;
  std::vector<std::unique_ptr<PlainRequest>> requests;
  PlainRequest* last_refused = nullptr;
};

/// Three decisions: an offer that evicts the least important request, the withdrawal of the offered
/// request, and a new offer of the evicted one.
void BmEvictWithdrawOffer(benchmark::State& state) {
  FullController full(static_cast<std::size_t>(state.range(0)));
  PlainRequest important;
  important.priority = {kMaxImportance, 0};
  for (auto _ : state) {
    important.deadline = full.clock.Now() + std::chrono::seconds(1);
    full.controller->Offer(important);
    full.controller->Withdraw(important);
    full.controller->Offer(*full.last_refused);
  }
}
BENCHMARK(BmEvictWithdrawOffer)->Arg(10)->Arg(1000)->Arg(100000);

/// One offer that is refused because the queue is full.
void BmRefuse(benchmark::State& state) {
  FullController full(static_cast<std::size_t>(state.range(0)));
  PlainRequest request;
  request.deadline = full.clock.Now() + std::chrono::seconds(1);
  for (auto _ : state) {
    full.controller->Offer(request);
  }
}
BENCHMARK(BmRefuse)->Arg(10)->Arg(1000)->Arg(100000);

/// Two decisions: an offer to the queue and its withdrawal.
void BmOfferAndWithdraw(benchmark::State& state) {
  FullController full(static_cast<std::size_t>(state.range(0)) + 1);
  full.controller->Withdraw(*full.requests.back());
  PlainRequest& request = *full.requests.back();
  for (auto _ : state) {
    full.Offer(request);
    full.controller->Withdraw(request);
  }
}
BENCHMARK(BmOfferAndWithdraw)->Arg(10)->Arg(1000)->Arg(100000);

/// Two decisions: a completion that admits the waiting request with the highest priority, and a new
/// offer of the completed one.
void BmCompleteAndOffer(benchmark::State& state) {
  FullController full(static_cast<std::size_t>(state.range(0)));
  PlainRequest* running = full.requests.front().get();
  // The request with the highest priority is admitted next, so the same two requests alternate.
  PlainRequest* next = nullptr;
  for (const auto& request : full.requests) {
    if (request.get() != running && (next == nullptr || request->priority > next->priority)) {
      next = request.get();
    }
  }
  for (auto _ : state) {
    full.controller->Complete(*running, Completion::kSuccess, std::chrono::milliseconds(20));
    running->priority = {9, 65535};
    running->deadline = full.clock.Now() + std::chrono::seconds(1);
    full.controller->Offer(*running);
    std::swap(running, next);
  }
}
BENCHMARK(BmCompleteAndOffer)->Arg(10)->Arg(1000)->Arg(100000);

/// Two decisions: an offer that is admitted at once, and its completion.
void BmAdmitAtOnce(benchmark::State& state) {
  FakeClock clock;
  SeededRandom random(1);
  AdmissionSettings settings;
  settings.ceiling = 200;
  AdmissionController controller(settings, clock, clock, random);
  PlainRequest request;
  request.deadline = clock.Now() + std::chrono::seconds(1);
  for (auto _ : state) {
    controller.Offer(request);
    controller.Complete(request, Completion::kSuccess, std::chrono::milliseconds(20));
  }
}
BENCHMARK(BmAdmitAtOnce);

}  // namespace
}  // namespace masticpin
