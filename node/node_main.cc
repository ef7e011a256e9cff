#include <gflags/gflags.h>
#include <signal.h>
#include <spdlog/spdlog.h>

#include <atomic>
#include <iostream>

#include "net/node.h"

DEFINE_string(name, "", "name of the instance");
DEFINE_string(service, "", "service of the upstream");
DEFINE_string(zone, "", "availability zone");
DEFINE_string(http_address, "", "ip:port towards callers");
DEFINE_string(peer_address, "", "ip:port towards other nodes");
DEFINE_string(upstream_address, "", "ip:port of the upstream");
DEFINE_string(platform_address, "", "ip:port of the platform's services");

namespace {

std::atomic<bool> stop_requested = false;

void OnSignal(int) {
  stop_requested = true;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  signal(SIGTERM, &OnSignal);
  signal(SIGINT, &OnSignal);
  signal(SIGPIPE, SIG_IGN);

  masticpin::NodeOptions options;
  options.name = FLAGS_name;
  options.service = FLAGS_service;
  options.zone = FLAGS_zone;
  options.http_address = FLAGS_http_address;
  options.peer_address = FLAGS_peer_address;
  options.upstream_address = FLAGS_upstream_address;
  options.platform_address = FLAGS_platform_address;
  masticpin::Node node(options);
  const std::string problem = node.Start();
  if (!problem.empty()) {
    std::cerr << "masticpin-node: " << problem << "\n";
    return 2;
  }
  node.RunUntilDrained([] { return stop_requested.load(); });
  return 0;
}
