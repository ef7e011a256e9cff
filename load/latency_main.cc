#include <gflags/gflags.h>
#include <httplib.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

DEFINE_string(direct, "", "ip:port of the upstream");
DEFINE_string(via, "", "ip:port of the node");
DEFINE_string(path, "/echo/call", "path of the request");
DEFINE_int32(threads,
             8,
             "number of callers, each with one persistent connection to node and upstream");
DEFINE_int32(rate, 0, "calls per second of all callers together; 0 sends as fast as possible");
DEFINE_int32(rounds, 20, "number of rounds, each with direct calls and calls through the node");
DEFINE_int32(calls, 200, "calls of one caller to each of the two in one round");

namespace {

using Clock = std::chrono::steady_clock;
using Microseconds = std::chrono::duration<double, std::micro>;

httplib::Client MakeClient(const std::string& address) {
  httplib::Client client("http://" + address);
  client.set_keep_alive(true);
  client.set_tcp_nodelay(true);
  return client;
}

/// Results of the calls to one address in one round. Latencies are in microseconds.
struct Round {
  std::vector<double> latencies;
  double seconds = 0;
  int failures = 0;

  double Quantile(double q) {
    std::sort(this->latencies.begin(), this->latencies.end());
    const auto last = static_cast<double>(this->latencies.size() - 1);
    return this->latencies[static_cast<std::size_t>(q * last)];
  }
};

/// Sends the calls of one caller. With a rate, latency is measured from the planned time of the
/// call, so that it includes the time by which a slow previous call delays it.
void RunCaller(httplib::Client& client,
               std::size_t index,
               std::vector<double>& latencies,
               std::atomic<int>& failures) {
  const auto interval =
      FLAGS_rate == 0
          ? Clock::duration::zero()
          : std::chrono::duration_cast<Clock::duration>(std::chrono::seconds(FLAGS_threads)) /
                FLAGS_rate;
  // Spreads the callers over the interval, so that they do not send in bursts.
  Clock::time_point planned =
      Clock::now() + interval * static_cast<int>(index) / FLAGS_threads - interval;
  for (int i = 0; i < FLAGS_calls; ++i) {
    if (FLAGS_rate == 0) {
      planned = Clock::now();
    } else {
      planned += interval;
      std::this_thread::sleep_until(planned);
    }
    const auto result = client.Post(FLAGS_path, "body", "text/plain");
    latencies.push_back(Microseconds(Clock::now() - planned).count());
    if (!result || result->status != 200) {
      ++failures;
    }
  }
}

Round RunRound(std::vector<httplib::Client>& clients) {
  std::vector<std::vector<double>> latencies(clients.size());
  std::atomic<int> failures = 0;
  std::vector<std::thread> threads;
  const Clock::time_point started = Clock::now();
  for (std::size_t i = 0; i < clients.size(); ++i) {
    threads.emplace_back([&, i] { RunCaller(clients[i], i, latencies[i], failures); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  Round round;
  round.seconds = std::chrono::duration<double>(Clock::now() - started).count();
  round.failures = failures;
  for (const std::vector<double>& caller_latencies : latencies) {
    round.latencies.insert(round.latencies.end(), caller_latencies.begin(), caller_latencies.end());
  }
  return round;
}

double Median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

}  // namespace

/// Compares calls through a node with direct calls to its upstream. Each round makes both, one
/// after the other, so that noise of the machine affects both. Prints the medians over the rounds.
int main(int argc, char** argv) {
  gflags::SetUsageMessage("masticpin-latency --direct=IP:PORT --via=IP:PORT [--rate=N]");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::vector<httplib::Client> direct;
  std::vector<httplib::Client> via;
  for (int i = 0; i < FLAGS_threads; ++i) {
    direct.push_back(MakeClient(FLAGS_direct));
    via.push_back(MakeClient(FLAGS_via));
  }

  // The first round opens the connections and is not counted.
  std::vector<double> added_p50;
  std::vector<double> added_p99;
  std::vector<double> direct_p99;
  std::vector<double> rates;
  int failures = 0;
  for (int i = 0; i <= FLAGS_rounds; ++i) {
    Round direct_round = RunRound(direct);
    Round via_round = RunRound(via);
    if (i == 0) {
      continue;
    }
    failures += direct_round.failures + via_round.failures;
    added_p50.push_back(via_round.Quantile(0.5) - direct_round.Quantile(0.5));
    added_p99.push_back(via_round.Quantile(0.99) - direct_round.Quantile(0.99));
    direct_p99.push_back(direct_round.Quantile(0.99));
    rates.push_back(static_cast<double>(via_round.latencies.size()) / via_round.seconds);
  }
  std::cout << "threads=" << FLAGS_threads << " rate=" << FLAGS_rate << " rounds=" << FLAGS_rounds
            << " failures=" << failures << " calls_per_second=" << Median(rates)
            << " direct_p99_us=" << Median(direct_p99) << " added_p50_us=" << Median(added_p50)
            << " added_p99_us=" << Median(added_p99) << "\n";
  return failures == 0 ? 0 : 1;
}
