#include "standins/run_until_signal.h"

#include <spdlog/spdlog.h>

#include <csignal>
#include <thread>

namespace masticpin::standins {

namespace {

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

void BlockStopSignals() {
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void RunUntilSignal(HttpServer& server, const std::function<void()>& on_stop) {
  std::thread listener([&server] { server.listen_after_bind(); });
  const sigset_t signals = StopSignals();
  int signal = 0;
  sigwait(&signals, &signal);
  spdlog::info("event=stopping signal={}", signal);
  if (on_stop) {
    on_stop();
  }
  server.Stop();
  listener.join();
}

}  // namespace masticpin::standins
