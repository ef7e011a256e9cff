#include <signal.h>

#include <algorithm>
#include <iostream>

#include "review/standins-2/deployment.h"

/// The only server of a service crashes, and after the time that the site allows, its address goes
/// to a server of another service. The node of the machine is stopped meanwhile. Checks that no
/// server runs a request of a route that never led to its service.
namespace masticpin::review {
namespace {

using Clock = std::chrono::steady_clock;

/// Bounds of the site.
constexpr Milliseconds kReuseAfter{2000};
constexpr Milliseconds kGrace{6000};

/// From the end of the server until the SIGTERM of its node, and until the new server starts.
constexpr Milliseconds kTimeToStop{1000};
constexpr Milliseconds kTimeToReuse{2200};
static_assert(kTimeToReuse > kReuseAfter);

/// Heartbeats after which the entry of a silent server is removed.
constexpr Milliseconds kExpiry{4500};

/// Time between two requests of the clients of a machine.
constexpr Milliseconds kPause{50};
constexpr Milliseconds kDeadline{2000};

constexpr const char* kAlmanac = "huvo11a";
constexpr const char* kDues = "kafi81c";
constexpr const char* kAlmanacPath = "/leny950/2f";
constexpr const char* kDuesPath = "/puka111/2f";

std::string Route(const std::string& prefix, const std::string& kind, const std::string& service) {
  return R"({"name":"r-)" + service + R"(","host":"calls.example","prefix":")" + prefix +
         R"(","kind":")" + kind + R"(","timeoutMs":2000,"targetLatencyMs":600,"priority":1,)" +
         R"("attempts":2,"service":")" + service + R"("})";
}

std::string Configuration() {
  return R"({"version":"r7","routes":[)" + Route("/leny950/", "idempotent", kAlmanac) + "," +
         Route("/puka111/", "non_idempotent", kDues) +
         R"(],"services":[{"name":"huvo11a","healthPath":"/healthz","maxConnections":538},)"
         R"({"name":"kafi81c","healthPath":"/healthz","maxConnections":178}],)"
         R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":3000,)"
         R"("idleTimeoutMs":15000}})";
}

/// Sends requests of both routes through all machines whose nodes run, but none through `absent`.
void SendFor(Deployment& deployment, Milliseconds time, const Machine* absent) {
  const auto end = Clock::now() + time;
  while (Clock::now() < end) {
    for (const auto& machine : deployment.Machines()) {
      if (machine.get() != absent) {
        deployment.SendRequest(*machine, "GET", kAlmanacPath, kDeadline);
        deployment.SendRequest(*machine, "POST", kDuesPath, kDeadline);
      }
    }
    deployment.RunFor(kPause);
  }
}

int Run(const std::string& directory) {
  DeploymentSettings settings;
  settings.drain_ms = 2000;
  settings.budget_slack = 48;
  settings.memory_mb = 260;
  Deployment deployment(directory, settings);
  deployment.Registry().Put("op/config", Configuration());
  deployment.WriteEntry(deployment.AddMachine(kAlmanac, "riga-a"));
  deployment.WriteEntry(deployment.AddMachine(kAlmanac, "riga-b"));
  Machine& reused = deployment.AddMachine(kDues, "riga-c");
  deployment.WriteEntry(reused);
  if (!deployment.RunUntilReady(Milliseconds(10'000))) {
    std::cerr << "the nodes do not become ready\n";
    return kCannotRun;
  }
  SendFor(deployment, Milliseconds(3000), nullptr);

  const std::string former = reused.instance;
  if (WithTrouble()) {
    deployment.EndServer(reused);
    deployment.Record("server ends " + former + " service=" + kDues);
    SendFor(deployment, kTimeToStop, &reused);
    deployment.Record("SIGTERM " + reused.name);
    reused.node->Signal(SIGTERM);
    SendFor(deployment, kTimeToReuse - kTimeToStop, &reused);
    reused.instance = "i-02d9e6b4";
    reused.service = kAlmanac;
    deployment.StartServer(reused);
    deployment.WriteEntry(reused);
    deployment.Record("server starts " + reused.instance + " service=" + kAlmanac +
                      " at the same address");
    SendFor(deployment, kExpiry - kTimeToReuse, &reused);
    deployment.Registry().Remove("servers/" + former);
  } else {
    SendFor(deployment, kExpiry, nullptr);
  }
  SendFor(deployment, kTimeToStop + kGrace - kExpiry, &reused);
  deployment.Record("node runs=" + std::to_string(static_cast<int>(reused.node->Poll())));
  deployment.RecordTraffic();

  int wrong = 0;
  for (const ServerRun& run : deployment.Runs()) {
    const bool is_dues = run.target == kDuesPath;
    if (is_dues == (run.service == kDues)) {
      continue;
    }
    ++wrong;
    const auto request =
        std::find_if(deployment.Requests().begin(), deployment.Requests().end(),
                     [&run](const ClientRequest& sent) { return sent.id == run.id; });
    deployment.Record("wrong id=" + run.id + " target=" + run.target + " server=" + run.server +
                      " service=" + run.service +
                      " status_for_client=" + std::to_string(request->status));
  }
  const std::string result =
      "ROUTE: " + std::to_string(wrong) + " requests were run by a service to which no route led";
  deployment.Record(result);
  std::cout << result << "\n";
  return wrong > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace masticpin::review

int main(int argc, char** argv) {
  return masticpin::review::RunCase(argc, argv, masticpin::review::Run);
}
