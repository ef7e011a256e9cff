// Case 4: an entry of another writer hides that a server leaves.
//
// An entry that names no server to use stands at the address of a live server. Later that server
// reports `draining`. Its own entry is not odd and still counts.

#include <cstdlib>
#include <iostream>
#include <string>
#include <thread>

#include "review/standins/deployment.h"

namespace review {
namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

constexpr int kDrainMs = 2000;
constexpr int kDeadlineMs = 5000;

int RunCase(const std::string& folder, bool trouble) {
  Record record(folder + "/record.txt");
  NodeSettings site;
  site.drain_ms = kDrainMs;
  Deployment deployment(record, site);
  deployment.store.Put("op/config", MakeConfiguration(7,
                                                      {{"/view/", "idempotent", "almanac"},
                                                       {"/vote/", "non_idempotent", "ballot"}},
                                                      {"almanac", "ballot"}));
  Node& first = *deployment.Add("almanac", "riga-a").node;
  Server& leaving = *deployment.Add("ballot", "riga-b").server;
  deployment.Add("ballot", "riga-c");
  if (!deployment.StartNodes()) {
    record.Line("the nodes did not become ready");
    return kNotRun;
  }

  int number = 0;
  const auto send = [&](const std::string& phase) {
    const std::string id = phase + "-" + std::to_string(++number);
    HttpMessage answer;
    const auto connection = HttpConnection::Connect(first.Outbound(), Milliseconds(1000));
    const bool answered =
        connection != nullptr &&
        connection->Write(MakeRequest("POST", "/vote/w120", id, kDeadlineMs, 300)) &&
        connection->Read(answer, Milliseconds(kDeadlineMs)) == ReadResult::kMessage;
    record.Line("client has " + std::to_string(answered ? answer.Status() : -1) + " for " + id);
  };
  const auto send_for = [&](const std::string& phase, int milliseconds) {
    const auto until = std::chrono::steady_clock::now() + Milliseconds(milliseconds);
    while (std::chrono::steady_clock::now() < until) {
      send(phase);
    }
  };

  // All machines are in touch: nothing has happened to them for touchMs.
  send_for("before", 4000);
  if (trouble) {
    const std::string entry = "{\"service\":\"ballot\",\"address\":\"" + deployment.AppAddress(1) +
                              "\",\"zone\":\"riga-b\",\"slots\":98,\"state\":\"ready\"}";
    deployment.store.Put("servers/copy-1", entry);
    record.Line(
        "another writer writes servers/copy-1, without version, coldRemainingMs, seq and "
        "born: " +
        entry);
  }
  send_for("odd", 6000);
  leaving.Register("draining");
  const long acknowledged_at = record.Now();
  send_for("leaving", 6000);

  int late = 0;
  for (const auto& [id, run] : leaving.Runs()) {
    const long after = run.began_at - acknowledged_at;
    if (after > kDrainMs) {
      ++late;
      record.Line("DRAIN: " + id + " reached " + leaving.Id() + " " + std::to_string(after) +
                  " ms after the ack");
    }
  }
  record.Line("result: " + std::to_string(late) +
              " requests reached the leaving server later than " + std::to_string(kDrainMs) +
              " ms after the ack");
  return late > 0 ? kBroken : kHeld;
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
