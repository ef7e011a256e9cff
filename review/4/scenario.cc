// Case 4: a connection that is kept open applies the limits of an older configuration.
//
// The operator raises `maxBodyBytes`. Clients that keep their connections send bodies that the new
// configuration allows.

#include <cstdlib>
#include <iostream>
#include <memory>
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
constexpr int kClients = 20;
constexpr std::size_t kOldLimit = 4096;
constexpr std::size_t kNewLimit = 1'048'576;
/// The largest request body of site riga.
constexpr std::size_t kBodyBytes = 7200;

int RunCase(const std::string& folder, bool trouble) {
  Record record(folder + "/record.txt");
  Deployment deployment(record, NodeSettings{});
  const auto publish = [&](int version, std::size_t max_body_bytes) {
    LimitsSpec limits;
    limits.max_body_bytes = max_body_bytes;
    deployment.store.Put(
        "op/config",
        MakeConfiguration(version, {{"/vote/", "non_idempotent", "ballot"}}, {"ballot"}, limits));
    record.Line("the operator writes r" + std::to_string(version) + " with maxBodyBytes " +
                std::to_string(max_body_bytes));
  };
  publish(7, trouble ? kOldLimit : kNewLimit);
  Node& node = *deployment.Add("ballot", "riga-a").node;
  deployment.Add("ballot", "riga-b");
  if (!deployment.StartNodes()) {
    record.Line("the nodes did not become ready");
    return kNotRun;
  }
  std::this_thread::sleep_for(Milliseconds(3500));

  const auto send = [&](HttpConnection& connection, const std::string& id, std::size_t bytes) {
    HttpMessage answer;
    const bool answered =
        connection.Write(MakeRequest("POST", "/vote/w20", id, kDeadlineMs, bytes)) &&
        connection.Read(answer, Milliseconds(kDeadlineMs)) == ReadResult::kMessage;
    const int status = answered ? answer.Status() : -1;
    record.Line("client has " + std::to_string(status) + " for " + id + " with " +
                std::to_string(bytes) + " bytes");
    return status;
  };
  std::vector<std::unique_ptr<HttpConnection>> connections;
  for (int i = 0; i < kClients; ++i) {
    connections.push_back(HttpConnection::Connect(node.Outbound(), Milliseconds(1000)));
    if (connections.back() == nullptr ||
        send(*connections.back(), "first-" + std::to_string(i), 1200) != 200) {
      return kNotRun;
    }
  }
  if (trouble) {
    publish(9, kNewLimit);
  }
  std::this_thread::sleep_for(Milliseconds(2 * kConfigMs));
  int refused = 0;
  for (int i = 0; i < kClients; ++i) {
    refused += send(*connections[i], "kept-" + std::to_string(i), kBodyBytes) == 413 ? 1 : 0;
  }
  const auto fresh = HttpConnection::Connect(node.Outbound(), Milliseconds(1000));
  if (fresh == nullptr || send(*fresh, "fresh", kBodyBytes) != 200) {
    record.Line("a new connection does not serve the request either");
    return kNotRun;
  }
  record.Line("result: " + std::to_string(refused) + " of " + std::to_string(kClients) +
              " requests that the configuration in force allows were refused with 413, " +
              std::to_string(2 * kConfigMs) + " ms after its ack");
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
