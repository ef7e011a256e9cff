#include "net/testing/test_site.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <spdlog/spdlog.h>
#include <sys/socket.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

#include "masticpin/wire/http_headers.h"

namespace masticpin {
namespace {

/// Far longer than any step needs, so that it only ends a run that would never succeed.
constexpr auto kWaitTimeout = std::chrono::seconds(30);
constexpr auto kPollInterval = std::chrono::milliseconds(10);

/// A loopback address that only this process uses. With a shared address, two test programs that
/// ran at the same time took each other's ports between the check and the start of a node.
std::string ProcessLoopbackAddress() {
  const auto id = static_cast<unsigned>(::getpid());
  // The second byte is never 0, because programs listen on addresses of 127.0.0.0/16 by default.
  return "127." + std::to_string(1 + (id >> 16 & 0x7f)) + "." + std::to_string(id >> 8 & 0xff) +
         "." + std::to_string(id & 0xff);
}

/// Uses ports below the range that the system assigns to outgoing connections: a port of that range
/// could be taken between this check and the start of a node.
int FreePort() {
  static std::atomic<int> next = 10000;
  for (;;) {
    const int port = next++;
    const int socket_fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = ::inet_addr(TestSite::Address().c_str());
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    const int bound = ::bind(socket_fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    ::close(socket_fd);
    if (bound == 0) {
      return port;
    }
  }
}

SocketAddress Loopback(int port) {
  return {TestSite::Address(), static_cast<std::uint16_t>(port)};
}

}  // namespace

TestServer::TestServer(const Handler& handler) : server(HttpServerOptions()) {
  this->server.Get("/.*", handler);
  this->server.Post("/.*", handler);
  this->port = this->server.Bind(TestSite::Address() + ":0");
  this->thread = std::thread([this] { this->server.listen_after_bind(); });
}

TestServer::~TestServer() {
  this->server.Stop();
  this->thread.join();
}

const std::string& TestSite::Address() {
  static const std::string address = ProcessLoopbackAddress();
  return address;
}

TestSite::TestSite(std::string manifest, Upstream upstream)
    : upstream(std::move(upstream)), manifest(std::move(manifest)) {
  // Creates the default logger before any thread starts, as a program does when it sets its log
  // level: ThreadSanitizer cannot see how libspdlog publishes the logger.
  spdlog::default_logger_raw();

  this->platform = std::make_unique<TestServer>(
      [this](const httplib::Request& request, httplib::Response& response) {
        this->HandlePlatform(request, response);
      });
}

TestSite::~TestSite() {
  // Destroy the nodes first: their threads call the upstreams and the platform.
  for (auto& [name, instance] : this->instances) {
    instance->node.reset();
  }
}

void TestSite::Add(const std::string& name, const std::string& service) {
  auto instance = std::make_unique<Instance>();
  instance->name = name;
  instance->service = service;
  instance->http_port = FreePort();
  instance->peer_port = FreePort();
  instance->upstream = std::make_unique<TestServer>(
      [this, name](const httplib::Request& request, httplib::Response& response) {
        httplib::Request named = request;
        named.set_header("X-Instance", name);
        this->upstream(named, response);
      });
  this->instances.emplace(name, std::move(instance));
}

void TestSite::Start() {
  for (auto& [name, instance] : this->instances) {
    this->StartNode(*instance);
  }
  for (auto& [name, instance] : this->instances) {
    WaitUntil([this, &name = name] {
      // The startup gate can open after the members are known. Until it opens, there is no
      // configuration.
      if (this->Status(name, "state") != "\"serving\"") {
        return false;
      }
      const auto members = nlohmann::json::parse(this->Status(name, "members"));
      return members.size() == this->instances.size() &&
             std::all_of(members.begin(), members.end(),
                         [](const auto& member) { return member["heard"] == true; });
    });
  }
}

void TestSite::Restart(const std::string& name) {
  Instance& instance = *this->instances.at(name);
  instance.node.reset();
  this->StartNode(instance);
}

void TestSite::Drain(const std::string& name) {
  Instance& instance = *this->instances.at(name);
  instance.node->RunUntilDrained([] { return true; });
  instance.node.reset();
}

void TestSite::Publish(std::uint64_t new_version, std::string new_manifest) {
  const std::lock_guard lock(this->mutex);
  this->version = new_version;
  this->manifest = std::move(new_manifest);
}

TestResponse TestSite::Send(const std::string& name,
                            const std::string& path,
                            const std::string& key) {
  httplib::Client client(Address(), this->HttpPort(name));
  client.set_read_timeout(kWaitTimeout);
  httplib::Headers headers;
  if (!key.empty()) {
    headers.emplace(kIdempotencyKeyHeader, key);
  }
  const httplib::Result result = client.Post(path, headers, "body", "text/plain");
  TestResponse response;
  if (result) {
    response.status = result->status;
    response.outcome = result->get_header_value(kOutcomeHeader);
    response.error = result->get_header_value(kErrorHeader);
    response.key = result->get_header_value(kIdempotencyKeyHeader);
    response.body = result->body;
  }
  return response;
}

std::string TestSite::NewKey(const std::string& name, const std::string& path) {
  return this->Send(name, path, "").key;
}

std::string TestSite::Status(const std::string& name, const std::string& pointer) {
  const auto status = nlohmann::json::parse(this->instances.at(name)->node->StatusJson());
  return status.at(nlohmann::json::json_pointer("/" + pointer)).dump();
}

bool TestSite::WaitUntil(const std::function<bool()>& predicate) {
  const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
  while (!predicate()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

void TestSite::StartNode(Instance& instance) {
  NodeSettings settings;
  settings.name = instance.name;
  settings.service = instance.service;
  settings.zone = "a";
  settings.http_address = Loopback(instance.http_port);
  settings.peer_address = Loopback(instance.peer_port);
  settings.upstream_address = Loopback(instance.upstream->Port());
  settings.platform_address = Loopback(this->platform->Port());
  settings.document = "manifest";
  settings.plaintext = true;
  instance.node = std::make_unique<Node>(settings);
  const std::string problem = instance.node->Start();
  if (!problem.empty()) {
    throw std::runtime_error(problem);
  }
}

void TestSite::HandlePlatform(const httplib::Request& request, httplib::Response& response) {
  const std::lock_guard lock(this->mutex);
  if (request.path == "/v1/instances") {
    auto list = nlohmann::json::array();
    for (const auto& [name, instance] : this->instances) {
      list.push_back({{"name", name},
                      {"service", instance->service},
                      {"zone", "a"},
                      {"http", Loopback(instance->http_port).ToString()},
                      {"peer", Loopback(instance->peer_port).ToString()},
                      {"state", "live"}});
    }
    response.set_content(list.dump(), "application/json");
    return;
  }
  // The fake responds to a watch immediately instead of waiting for a change.
  if (request.get_param_value("after") == std::to_string(this->version)) {
    response.status = 304;
    return;
  }
  response.set_header("Document-Version", std::to_string(this->version));
  response.set_content(this->manifest, "text/plain");
}

}  // namespace masticpin
