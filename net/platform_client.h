#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "masticpin/base/socket_address.h"
#include "masticpin/configuration/configuration_service_client.h"
#include "masticpin/membership/listed_instance.h"
#include "net/node_core.h"
#include "net/worker_pool.h"

namespace masticpin {

/// Reads the platform's configuration service and its instance list over HTTP. All functions except
/// Stop() must be called within a NodeCore::CriticalSection; callbacks are called within one, too.
class PlatformClient : public ConfigurationServiceClient {
 public:
  /// No value if the list could not be read.
  using InstanceListCallback = std::function<void(std::optional<std::vector<ListedInstance>>)>;

  /// `core` must outlive the client.
  PlatformClient(NodeCore& core, SocketAddress address);
  ~PlatformClient() override;

  // ConfigurationServiceClient:
  std::uint64_t Read(const std::string& name,
                     std::uint64_t after,
                     Duration wait,
                     Callback callback) override;
  void Cancel(std::uint64_t call) override;

  /// Starts one read of the instance list.
  void ReadInstances(InstanceListCallback callback);

  /// Ends all calls without calling their callbacks. Must be called outside of any critical
  /// section.
  void Stop();

 private:
  class Call;
  class DocumentCall;
  class InstanceListCall;

  std::uint64_t Start(std::unique_ptr<Call> call);

  NodeCore& core;
  const SocketAddress address;
  std::uint64_t next_call = 1;
  bool stopping = false;
  std::unordered_map<std::uint64_t, std::unique_ptr<Call>> calls;
  WorkerPool workers;
};

}  // namespace masticpin
