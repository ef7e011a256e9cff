// Case 5: a node whose watch of the configuration lost its answer keeps an old configuration.
//
// The store loses one answer: that to one node's call that waits for a change of the configuration.
// Afterwards the store is sound. The clients of that node send requests on a route that the lost
// change has added.

#include <cstdlib>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "review/standins/deployment.h"

namespace review {
namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

constexpr int kDeadlineMs = 5000;
constexpr int kConfigMs = 2000;
constexpr int kTouchMs = 3000;
constexpr int kOuterMs = 5000;
constexpr int kLostPhaseMs = 2000;
constexpr int kJudgedMs = 30000;

int RunCase(const std::string& folder, bool trouble) {
  Record record(folder + "/record.txt");
  Deployment deployment(record, NodeSettings{});
  StoreFront front(deployment.store);
  const Address front_address = deployment.SecondStoreAddress();
  if (!front.Start(front_address)) {
    return kNotRun;
  }
  const std::vector<RouteSpec> old_routes = {{"/vote/", "non_idempotent", "ballot"}};
  std::vector<RouteSpec> new_routes = old_routes;
  new_routes.push_back({"/recount/", "non_idempotent", "ballot"});
  deployment.store.Put("op/config", MakeConfiguration(7, old_routes, {"ballot"}));
  Node& other = *deployment.Add("ballot", "riga-a").node;
  Node& node = *deployment.Add("ballot", "riga-b", &front_address).node;
  if (!deployment.StartNodes()) {
    record.Line("the nodes did not become ready");
    return kNotRun;
  }
  int number = 0;
  const auto send = [&](Node& to, const std::string& prefix) {
    const std::string id = to.Name() + "-" + std::to_string(++number);
    HttpMessage answer;
    const auto connection = HttpConnection::Connect(to.Outbound(), Milliseconds(1000));
    const bool answered =
        connection != nullptr &&
        connection->Write(MakeRequest("POST", prefix + "w120", id, kDeadlineMs, 300)) &&
        connection->Read(answer, Milliseconds(kDeadlineMs)) == ReadResult::kMessage;
    const int status = answered ? answer.Status() : -1;
    record.Line("client has " + std::to_string(status) + " for " + id + " on " + prefix);
    return status;
  };
  const auto send_for = [&](const std::string& prefix, int milliseconds) {
    const auto until = std::chrono::steady_clock::now() + Milliseconds(milliseconds);
    while (std::chrono::steady_clock::now() < until) {
      send(other, prefix);
      send(node, prefix);
      std::this_thread::sleep_for(Milliseconds(100));
    }
  };
  send_for("/vote/", 4000);

  // The change is made, and its answer to one node is lost.
  const int answers_before = deployment.store.Answers();
  if (trouble) {
    front.LoseChangesOf("op/config", true);
    record.Line("the store begins to lose answers");
  }
  deployment.store.Put("op/config", MakeConfiguration(9, new_routes, {"ballot"}));
  const long acknowledged_at = record.Now();
  record.Line("the store acknowledges r9, which adds a route");
  send_for("/vote/", kLostPhaseMs);
  if (trouble) {
    record.Line("the store loses no more answers; it gave " +
                std::to_string(deployment.store.Answers() - answers_before) +
                " meanwhile, and lost " + std::to_string(front.Lost()));
    front.LoseChangesOf("", false);
  }
  const long sound_at = record.Now();

  // The bound of configuration, its longest stretch, and the time after which machines are in
  // touch.
  send_for("/vote/", kTouchMs + 500);
  while (record.Now() < acknowledged_at + kConfigMs + kOuterMs + 500) {
    send_for("/vote/", 100);
  }
  int refused = 0;
  int served = 0;
  long last = 0;
  const long judged_from = record.Now();
  while (record.Now() < judged_from + kJudgedMs) {
    if (send(other, "/recount/") != 200) {
      record.Line("the other node does not serve the route");
      return kNotRun;
    }
    if (send(node, "/recount/") == 404) {
      ++refused;
      last = record.Now();
    } else {
      ++served;
    }
    std::this_thread::sleep_for(Milliseconds(200));
  }
  record.Line("result: " + node.Name() + " refused " + std::to_string(refused) +
              " requests on the new route with 404 and served " + std::to_string(served) +
              ", the last refusal " + std::to_string(last - acknowledged_at) +
              " ms after the ack and " + std::to_string(last - sound_at) +
              " ms after the store was sound again");
  return refused > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  const char* trouble = std::getenv("TROUBLE");
  try {
    return review::RunCase(argc > 1 ? argv[1] : ".",
                           trouble == nullptr || std::string(trouble) != "0");
  } catch (const std::exception& error) {
    std::cerr << "the case could not run: " << error.what() << "\n";
    return review::kNotRun;
  }
}
