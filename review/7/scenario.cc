#include <algorithm>
#include <iostream>

#include "platform/soak/run_after.h"
#include "review/standins-2/deployment.h"

/// A server that has just started changes its entry, and the store's answer to the watch of its
/// node is lost. Long after, the server reports that it drains, and ends. Checks that no request
/// reaches it later than DRAIN allows.
namespace masticpin::review {
namespace {

using Clock = std::chrono::steady_clock;

/// Bounds of the site.
constexpr Milliseconds kDrain{2000};
constexpr Milliseconds kTouch{3000};

/// Age of stale reads: "may be seconds old".
constexpr Milliseconds kStaleness{3000};

/// The server is cold for this time after its start, and reports the end of it at a heartbeat.
constexpr Milliseconds kHeartbeat{1500};
constexpr Milliseconds kColdTime{3000};

/// From the lost answer until the server drains: more than kTouch, so that all machines are in
/// touch and the store is stable.
constexpr Milliseconds kCalmTime{8000};
static_assert(kCalmTime > kTouch);

/// Time for which the server goes on after the end of its notice.
constexpr Milliseconds kLittleLonger{600};

/// Time for which a server works on a request.
constexpr Milliseconds kWork{600};

/// Time between two requests of the clients of each machine. The server begins to drain this long
/// before one of them.
constexpr Milliseconds kPause{1100};
constexpr Milliseconds kTimeToNextRequest{100};
constexpr Milliseconds kDeadline{5000};

std::string Configuration() {
  return R"({"version":"r7","routes":[{"name":"r-js4zi4n","host":"calls.example",)"
         R"("prefix":"/puka111/","kind":"non_idempotent","timeoutMs":5000,"targetLatencyMs":1500,)"
         R"("priority":0,"service":"wuno96b","attempts":2}],)"
         R"("services":[{"name":"wuno96b","healthPath":"/healthz","maxConnections":688}],)"
         R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":3000,)"
         R"("idleTimeoutMs":15000}})";
}

/// The clients, which send requests through all machines.
class Clients {
 public:
  explicit Clients(Deployment& deployment) : deployment(deployment) {}

  void SendUntil(Clock::time_point end) {
    while (Clock::now() < end) {
      if (this->next <= Clock::now()) {
        for (const auto& machine : this->deployment.Machines()) {
          this->deployment.SendRequest(*machine, "POST", "/puka111/2f", kDeadline);
        }
        this->next = Clock::now() + kPause;
      }
      this->deployment.RunFor(Milliseconds(5));
    }
  }
  void SendFor(Milliseconds time) { this->SendUntil(Clock::now() + time); }

  /// When the next requests are sent.
  Clock::time_point next = Clock::now();

 private:
  Deployment& deployment;
};

int Run(const std::string& directory) {
  DeploymentSettings settings;
  settings.drain_ms = static_cast<int>(kDrain.count());
  settings.budget_slack = 48;
  settings.memory_mb = 260;
  settings.work = kWork;
  Deployment deployment(directory, settings);
  deployment.Registry().SetStaleness(kStaleness);
  deployment.Registry().Put("op/config", Configuration());
  for (const char* zone : {"riga-a", "riga-b", "riga-c"}) {
    deployment.WriteEntry(deployment.AddMachine("wuno96b", zone),
                          zone == std::string("riga-c") ? 3000 : 0);
  }
  Machine& leaver = *deployment.Machines().back();
  deployment.RunFor(kHeartbeat);
  deployment.WriteEntry(leaver, 1500);
  if (!deployment.RunUntilReady(Milliseconds(10'000))) {
    std::cerr << "the nodes do not become ready\n";
    return kCannotRun;
  }
  Clients clients(deployment);
  clients.SendFor(Milliseconds(4000));

  if (WithTrouble()) {
    deployment.Registry().LoseNextWatchAnswer("servers/" + leaver.instance);
  }
  deployment.WriteEntry(leaver, 0);  // The server is warm.
  deployment.Record("warm server=" + leaver.instance +
                    " answers_lost=" + std::to_string(deployment.Registry().LostAnswers()));
  if (WithTrouble() && deployment.Registry().LostAnswers() != 1) {
    std::cerr << "no watch of the entry was waiting\n";
    return kCannotRun;
  }
  clients.SendFor(kCalmTime);
  clients.SendUntil(clients.next - kTimeToNextRequest);

  leaver.leaving = true;
  deployment.WriteEntry(leaver);
  const auto acknowledged = Clock::now();
  deployment.Record("draining acknowledged server=" + leaver.instance);
  clients.SendFor(kDrain + kLittleLonger);
  Deployment::EndServer(leaver);
  deployment.Record("server ends " + leaver.instance);
  deployment.RunFor(Milliseconds(1500));
  deployment.RecordTraffic();

  int late = 0;
  for (const ServerRun& run : deployment.Runs()) {
    if (run.server != leaver.instance || run.at <= acknowledged + kDrain) {
      continue;
    }
    ++late;
    const auto request =
        std::find_if(deployment.Requests().begin(), deployment.Requests().end(),
                     [&run](const ClientRequest& sent) { return sent.id == run.id; });
    deployment.Record("late id=" + run.id + " ms_after_ack=" +
                      std::to_string(deployment.MillisecondsOf(run.at) -
                                     deployment.MillisecondsOf(acknowledged)) +
                      " status_for_client=" + std::to_string(request->status));
  }
  const std::string result = "DRAIN: " + std::to_string(late) +
                             " requests reached the server over " + std::to_string(kDrain.count()) +
                             " ms after the ack";
  deployment.Record(result);
  std::cout << result << "\n";
  return late > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace masticpin::review

int main(int argc, char** argv) {
  return masticpin::review::RunCase(argc, argv, masticpin::review::Run);
}
