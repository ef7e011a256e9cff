#include <signal.h>

#include <algorithm>
#include <iostream>

#include "review/standins-2/deployment.h"

/// A client sends two idempotent requests on one connection. The server works on the first one for
/// a long time, and on the second one for a short time. The node that took them gets SIGTERM.
/// Checks that the second request, which a server has run and answered, gets its answer.
namespace masticpin::review {
namespace {

using Clock = std::chrono::steady_clock;

/// Bounds of the site.
constexpr Milliseconds kGrace{6000};
constexpr Milliseconds kExcusedFrom{kGrace * 5 / 6};

/// The time limit of the route, and the longest and the usual run of its requests.
constexpr Milliseconds kDeadline{10'000};
constexpr Milliseconds kLongWork{7900};
constexpr Milliseconds kUsualWork{750};

/// From the requests until the SIGTERM.
constexpr Milliseconds kTimeToStop{500};

/// Number of clients that send such a pair.
constexpr int kClients = 4;

constexpr const char* kLongPath = "/cufi502/long";
constexpr const char* kUsualPath = "/cufi502/usual";

std::string Configuration() {
  return R"({"version":"r7","routes":[{"name":"r-js4zi4n","host":"calls.example",)"
         R"("prefix":"/cufi502/","kind":"idempotent","timeoutMs":10000,"targetLatencyMs":2500,)"
         R"("priority":2,"service":"lovo22d","attempts":2}],)"
         R"("services":[{"name":"lovo22d","healthPath":"/healthz","maxConnections":430}],)"
         R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,)"
         R"("idleTimeoutMs":15000}})";
}

int Run(const std::string& directory) {
  DeploymentSettings settings;
  settings.budget_slack = 95;
  Deployment deployment(directory, settings);
  deployment.work_of = [](const std::string& target) {
    return target == kLongPath ? kLongWork : kUsualWork;
  };
  deployment.Registry().Put("op/config", Configuration());
  for (const char* zone : {"bogota-a", "bogota-b", "bogota-c"}) {
    deployment.WriteEntry(deployment.AddMachine("lovo22d", zone));
  }
  if (!deployment.RunUntilReady(Milliseconds(10'000))) {
    std::cerr << "the nodes do not become ready\n";
    return kCannotRun;
  }
  deployment.RunFor(Milliseconds(4000));

  Machine& stopped = *deployment.Machines().front();
  std::vector<std::string> second;
  for (int i = 0; i < kClients; ++i) {
    second.push_back(deployment.SendPipelined(stopped, {kLongPath, kUsualPath}, kDeadline).back());
  }
  deployment.RunFor(kTimeToStop);
  const auto stopped_at = Clock::now();
  if (WithTrouble()) {
    stopped.node->Signal(SIGTERM);
    deployment.Record("SIGTERM " + stopped.name);
  }
  deployment.RunFor(kDeadline);
  deployment.Record("node runs=" + std::to_string(static_cast<int>(stopped.node->Poll())));
  deployment.RecordTraffic();

  int lost = 0;
  for (const std::string& id : second) {
    const ServerRun* run = deployment.FindRun(id);
    const ClientRequest& request = deployment.FindRequest(id);
    // Requests that a server was still at work on late in the grace time do not count.
    if (run == nullptr || run->at + kUsualWork > stopped_at + kExcusedFrom ||
        request.status == 200) {
      continue;
    }
    ++lost;
    deployment.Record("lost id=" + id + " run ended at ms=" +
                      std::to_string(deployment.MillisecondsOf(run->at + kUsualWork)) +
                      " status_for_client=" + std::to_string(request.status));
  }
  const std::string result = "LOST: " + std::to_string(lost) + " of " + std::to_string(kClients) +
                             " requests whose servers had answered got no answer";
  deployment.Record(result);
  std::cout << result << "\n";
  return lost > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace masticpin::review

int main(int argc, char** argv) {
  return masticpin::review::RunCase(argc, argv, masticpin::review::Run);
}
