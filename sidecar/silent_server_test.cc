#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "sidecar/testing/sidecar_node_fixture.h"

namespace masticpin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A server that never answers a request which it cannot queue, nor any later request on the same
/// connection.
class SilentServer {
 public:
  explicit SilentServer(std::size_t capacity) : capacity(capacity) {}

  void OnRequest(Connection& connection, const std::string& request) {
    if (this->silent.contains(&connection) || this->running.size() >= this->capacity) {
      this->silent[&connection] = true;
      ++this->dropped;
      return;
    }
    this->running.emplace_back(&connection, request);
  }

  /// Answers the request that has run for the longest time.
  void FinishOne() {
    if (this->running.empty()) {
      return;
    }
    const auto [connection, request] = this->running.front();
    this->running.erase(this->running.begin());
    connection->Send(TestFleet::MakeResponse(request));
  }

  std::size_t Dropped() const { return this->dropped; }

 private:
  const std::size_t capacity;
  std::vector<std::pair<Connection*, std::string>> running;
  std::map<Connection*, bool> silent;
  std::size_t dropped = 0;
};

class SilentServerTest : public SidecarNodeFixture, public testing::WithParamInterface<int> {};

// Guards against a node that sends its server more requests than it can queue: a silent server lets
// each of them wait for its whole deadline, with an outcome that nobody knows.
TEST_P(SilentServerTest, IsNeverSentMoreThanItCanQueue) {
  constexpr std::size_t kSlots = 8;
  const int callers_count = static_cast<int>(kSlots) * GetParam();
  SilentServer server(kSlots);
  this->fleet.AddMachine("page", [&](Connection& connection, const std::string& request) {
    server.OnRequest(connection, request);
  });
  this->fleet.AddRoute("r", "page", true);
  this->fleet.Start();
  std::vector<std::unique_ptr<RawCaller>> callers;
  for (int i = 0; i < callers_count; ++i) {
    callers.push_back(
        std::make_unique<RawCaller>(this->fleet.Loop(), this->fleet.RequestAddress(0)));
    callers.back()->Send(TestFleet::MakeRequest(std::to_string(i), "r"));
  }
  const auto answered = [&] {
    std::size_t count = 0;
    for (const auto& caller : callers) {
      count += caller->ResponseCount() > 0 ? 1 : 0;
    }
    return count;
  };
  for (int i = 0; i < 200 && answered() < callers.size(); ++i) {
    this->fleet.RunFor(milliseconds(5));
    server.FinishOne();
  }
  ASSERT_EQ(answered(), callers.size());
  EXPECT_EQ(server.Dropped(), 0U);
  int served = 0;
  for (const auto& caller : callers) {
    const int status = StatusOf(caller->Received());
    EXPECT_TRUE(status == 200 || status == 503) << caller->Received();
    served += status == 200 ? 1 : 0;
  }
  // In the 100 ms for which callers wait at most, the server answers at least as many as it has
  // slots.
  EXPECT_GE(served, static_cast<int>(kSlots) - 1);
}

INSTANTIATE_TEST_SUITE_P(TimesItsQueue, SilentServerTest, testing::Values(1, 2, 5));

using SilentConnectionTest = SidecarNodeFixture;

// Guards against a request that is sent on a connection whose last request was given up without an
// answer: the server would never answer it either.
TEST_F(SilentConnectionTest, ConnectionOfAGivenUpRequestIsNotUsedAgain) {
  int count = 0;
  std::map<Connection*, bool> silent;
  this->fleet.AddMachine("page", [&](Connection& connection, const std::string& request) {
    if (++count == 1 || silent.contains(&connection)) {
      silent[&connection] = true;
      return;
    }
    connection.Send(TestFleet::MakeResponse(request));
  });
  this->fleet.AddRoute("w", "page", false).timeout = milliseconds(200);
  this->fleet.Start();
  EXPECT_EQ(StatusOf(this->SendRequest(TestFleet::MakeRequest("1", "w", "POST", "", "x"))), 504);
  for (int i = 2; i < 6; ++i) {
    EXPECT_EQ(StatusOf(this->SendRequest(
                  TestFleet::MakeRequest(std::to_string(i), "w", "POST", "", "x"))),
              200);
  }
  EXPECT_EQ(count, 5);
}

// Guards against a request that a silent server dropped and that is reported as not run: nothing
// proves it.
TEST_F(SilentConnectionTest, CallerLearnsThatADroppedRequestMayHaveRun) {
  this->fleet.AddMachine("page", [](Connection&, const std::string&) {});
  this->fleet.AddRoute("r", "page", true).timeout = milliseconds(200);
  this->fleet.Start();
  const std::string response = this->SendRequest(TestFleet::MakeRequest("1", "r"), seconds(2));
  EXPECT_EQ(StatusOf(response), 504);
  EXPECT_EQ(FieldOf(response, "Retry-After"), "");
  EXPECT_EQ(this->RequestCount(0), 1U);
}

}  // namespace
}  // namespace masticpin
