#include "net/platform_client.h"

#include <httplib.h>
#include <spdlog/spdlog.h>

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace masticpin {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

/// More than the maximum number of concurrent calls: one watch, one read at the start and one read
/// of the instance list. A watch blocks its thread, so with too few threads it would delay the
/// reads.
constexpr std::size_t kMaxThreads = 4;

/// The service responds within milliseconds. A call that exceeds its wait by more than this has
/// failed.
constexpr auto kResponseTimeout = milliseconds(2000);

std::uint64_t ParseVersion(const std::string& text) {
  std::uint64_t version = 0;
  std::from_chars(text.data(), text.data() + text.size(), version);
  return version;
}

std::optional<std::vector<ListedInstance>> ParseInstanceList(const std::string& text) {
  const nlohmann::json list = nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!list.is_array()) {
    return std::nullopt;
  }
  std::vector<ListedInstance> instances;
  for (const nlohmann::json& item : list) {
    if (!item.is_object()) {
      return std::nullopt;
    }
    const auto get_string = [&item](const char* field) {
      const auto found = item.find(field);
      return found != item.end() && found->is_string() ? found->get<std::string>() : std::string();
    };
    ListedInstance instance;
    instance.name = get_string("name");
    instance.service = get_string("service");
    instance.zone = get_string("zone");
    instance.http_address = get_string("http");
    instance.leaving = get_string("state") == "leaving";
    const std::optional<SocketAddress> peer = SocketAddress::Parse(get_string("peer"));
    if (instance.name.empty() || instance.service.empty() || !peer.has_value()) {
      return std::nullopt;
    }
    instance.peer_endpoint = "tcp://" + peer->ToString();
    instances.push_back(std::move(instance));
  }
  return instances;
}

}  // namespace

/// One HTTP call, run on a worker thread.
class PlatformClient::Call : public WorkItem {
 public:
  Call(PlatformClient& owner, std::string path, Duration wait)
      : owner(owner), path(std::move(path)), client(owner.address.ip, owner.address.port) {
    this->client.set_tcp_nodelay(true);
    this->client.set_connection_timeout(kResponseTimeout);
    this->client.set_read_timeout(duration_cast<microseconds>(wait) + kResponseTimeout);
  }

  void Run() override {
    const httplib::Result result = this->client.Get(this->path);
    const NodeCore::CriticalSection section(this->owner.core);
    // Deliver() may start further calls, so this call is removed from the table first. The
    // extracted map node keeps it alive until Run() returns.
    const auto map_node = this->owner.calls.extract(this->id);
    if (!this->cancelled && !this->owner.stopping) {
      this->Deliver(result);
    }
  }

  /// Ends the call early, without calling its callback.
  void Abort() {
    this->cancelled = true;
    this->client.stop();
  }

  std::uint64_t id = 0;

 private:
  virtual void Deliver(const httplib::Result& result) = 0;

  PlatformClient& owner;
  const std::string path;
  httplib::Client client;
  bool cancelled = false;
};

class PlatformClient::DocumentCall : public Call {
 public:
  DocumentCall(PlatformClient& owner, std::string path, Duration wait, Callback callback)
      : Call(owner, std::move(path), wait), callback(std::move(callback)) {}

 private:
  void Deliver(const httplib::Result& result) override {
    ServiceResponse response;
    if (result) {
      switch (result->status) {
        case 200:
          response.status = ServiceStatus::kValue;
          response.version = ParseVersion(result->get_header_value("Document-Version"));
          response.bytes = result->body;
          break;
        case 304:
          response.status = ServiceStatus::kNotModified;
          break;
        case 404:
          response.status = ServiceStatus::kMissing;
          break;
        case 429:
          response.status = ServiceStatus::kThrottled;
          break;
        default:
          break;
      }
    }
    this->callback(std::move(response));
  }

  const Callback callback;
};

class PlatformClient::InstanceListCall : public Call {
 public:
  InstanceListCall(PlatformClient& owner, InstanceListCallback callback)
      : Call(owner, "/v1/instances", Duration::zero()), callback(std::move(callback)) {}

 private:
  void Deliver(const httplib::Result& result) override {
    this->callback(result && result->status == 200 ? ParseInstanceList(result->body)
                                                   : std::nullopt);
  }

  const InstanceListCallback callback;
};

PlatformClient::PlatformClient(NodeCore& core, SocketAddress address)
    : core(core), address(std::move(address)), workers(kMaxThreads) {}

PlatformClient::~PlatformClient() {
  this->Stop();
}

std::uint64_t PlatformClient::Read(const std::string& name,
                                   std::uint64_t after,
                                   Duration wait,
                                   Callback callback) {
  std::string path = "/v1/documents/" + name;
  if (wait > Duration::zero()) {
    path += "?after=" + std::to_string(after) +
            "&wait_ms=" + std::to_string(duration_cast<milliseconds>(wait).count());
  }
  return this->Start(
      std::make_unique<DocumentCall>(*this, std::move(path), wait, std::move(callback)));
}

void PlatformClient::Cancel(std::uint64_t call) {
  const auto found = this->calls.find(call);
  if (found != this->calls.end()) {
    found->second->Abort();
  }
}

void PlatformClient::ReadInstances(InstanceListCallback callback) {
  this->Start(std::make_unique<InstanceListCall>(*this, std::move(callback)));
}

void PlatformClient::Stop() {
  {
    const NodeCore::CriticalSection section(this->core);
    this->stopping = true;
    for (const auto& [id, call] : this->calls) {
      call->Abort();
    }
  }
  this->workers.Stop();
}

std::uint64_t PlatformClient::Start(std::unique_ptr<Call> call) {
  const std::uint64_t id = this->next_call++;
  call->id = id;
  Call& started = *this->calls.emplace(id, std::move(call)).first->second;
  if (!this->stopping) {
    this->workers.Post(started);
  }
  return id;
}

}  // namespace masticpin
