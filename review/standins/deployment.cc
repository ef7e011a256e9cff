#include "review/standins/deployment.h"

#include <unistd.h>

#include <array>
#include <cstdlib>
#include <filesystem>
#include <random>
#include <stdexcept>
#include <utility>

namespace review {
namespace {

constexpr std::uint16_t kFirstPort = 21300;

}  // namespace

std::string MakeConfiguration(int version,
                              const std::vector<RouteSpec>& routes,
                              const std::vector<std::string>& services,
                              const LimitsSpec& limits) {
  std::string route_list;
  for (const RouteSpec& route : routes) {
    const std::string name = "r-" + std::to_string(&route - routes.data());
    route_list += (route_list.empty() ? "" : ",");
    route_list += "{\"name\":\"" + name + "\",\"host\":\"" + kHost + "\",\"prefix\":\"" +
                  route.prefix + "\",\"kind\":\"" + route.kind +
                  "\",\"timeoutMs\":" + std::to_string(route.timeout_ms) +
                  ",\"targetLatencyMs\":1500,\"priority\":1,\"service\":\"" + route.service +
                  "\",\"attempts\":2}";
  }
  std::string service_list;
  for (const std::string& service : services) {
    service_list += (service_list.empty() ? "" : ",");
    service_list += "{\"name\":\"" + service +
                    "\",\"healthPath\":\"/healthz\",\"maxConnections\":538,\"protocol\":\"h1\","
                    "\"tls\":false}";
  }
  return "{\"version\":\"r" + std::to_string(version) + "\",\"routes\":[" + route_list +
         "],\"services\":[" + service_list +
         "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":" +
         std::to_string(limits.max_body_bytes) +
         ",\"headerTimeoutMs\":3000,\"idleTimeoutMs\":" + std::to_string(limits.idle_timeout_ms) +
         "}}";
}

Deployment::Deployment(Record& record, NodeSettings site) : record(record), site(std::move(site)) {
  std::string name = (std::filesystem::temp_directory_path() / "masticpin-review-XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("no temporary folder");
  }
  this->folder = name;
  // A network of this process's own in 127.0.0.0/8, so that all machines can use the same ports.
  std::random_device random;
  bool started = false;
  for (int tries = 0; tries < 20 && !started; ++tries) {
    this->network = "127." + std::to_string(64 + random() % 128) + "." +
                    std::to_string(1 + random() % 250) + ".";
    this->site.store = Address{this->network + "250", kFirstPort};
    started = this->store.Start(this->site.store);
  }
  if (!started) {
    throw std::runtime_error("no free address");
  }
  this->site.outbound = kFirstPort + 1;
  this->site.inbound = kFirstPort + 2;
  this->site.ready = kFirstPort + 3;
  this->site.metrics = kFirstPort + 4;
  this->site.app = kFirstPort + 5;
}

Deployment::~Deployment() {
  this->machines.clear();
  std::error_code ignored;  // A folder that stays behind does not change the result.
  if (std::getenv("KEEP") == nullptr) {
    std::filesystem::remove_all(this->folder, ignored);
  } else {
    this->record.Line("files are in " + this->folder);
  }
}

Address Deployment::SecondStoreAddress() const {
  return {this->network + "251", this->site.store.port};
}

Machine& Deployment::Add(const std::string& service,
                         const std::string& zone,
                         const Address* store_address) {
  const std::string number = std::to_string(this->machines.size() + 1);
  NodeSettings own = this->site;
  own.name = "sidecar-" + number;
  own.service = service;
  own.zone = zone;
  own.ip = this->network + number;
  if (store_address != nullptr) {
    own.store = *store_address;
  }
  auto machine = std::make_unique<Machine>();
  machine->server =
      std::make_unique<Server>(this->record, this->store, "i-" + number, service, zone);
  if (!machine->server->StartAt({own.ip, own.app})) {
    throw std::runtime_error("no free address");
  }
  machine->server->Register("ready");
  machine->node = std::make_unique<Node>(this->record, own, this->folder);
  this->machines.push_back(std::move(machine));
  return *this->machines.back();
}

std::string Deployment::AppAddress(std::size_t index) const {
  return this->network + std::to_string(index + 1) + ":" + std::to_string(this->site.app);
}

bool Deployment::StartNodes() {
  for (const auto& machine : this->machines) {
    if (!machine->node->Start()) {
      return false;
    }
  }
  for (const auto& machine : this->machines) {
    if (!machine->node->WaitUntilReady(Milliseconds(8000))) {
      return false;
    }
  }
  return true;
}

std::string MakeRequest(const std::string& method,
                        const std::string& target,
                        const std::string& id,
                        int deadline_ms,
                        std::size_t body_bytes) {
  std::string text = method + " " + target + " HTTP/1.1\r\nHost: " + kHost +
                     "\r\nX-Attempt-Id: " + id +
                     "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
  if (method == "POST") {
    text += "Content-Length: " + std::to_string(body_bytes) + "\r\n";
  }
  return text + "\r\n" + std::string(method == "POST" ? body_bytes : 0, 'x');
}

}  // namespace review
