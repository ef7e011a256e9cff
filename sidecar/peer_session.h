#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <map>
#include <memory>

#include "masticpin/base/ref_counted.h"
#include "sidecar/catalog_store.h"
#include "sidecar/execution_observer.h"
#include "sidecar/frame_stream.h"
#include "sidecar/local_executor.h"

namespace masticpin {

/// Hook of the list of a listener's connections.
using PeerSessionHook =
    boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// A connection over which another node sends requests for the own instance.
class PeerSession : public RefCounted<PeerSession>, public PeerSessionHook, private FrameObserver {
 public:
  /// `own_service` is the service of the own instance. `next_call` is shared by all sessions: calls
  /// of several nodes get numbers of their own.
  PeerSession(boost::asio::ip::tcp::socket socket,
              LocalExecutor& executor,
              const std::string& local_service,
              CatalogStore& catalog_store,
              std::uint64_t& next_call_id);
  ~PeerSession() override;

  void Start();

  /// Tells the other node that this one is about to stop.
  void AnnounceLeaving();

  /// Asks the other node for what it knows of the deployment, if this one needs it.
  void RequestCatalog();

  /// Closes the connection. Requests of the other node that do not run yet are not run.
  void Close();

  bool IsBusy() const { return !this->executions.empty(); }

 private:
  /// One request of the other node.
  class Execution : public ExecutionObserver {
   public:
    Execution(PeerSession& session, std::uint64_t peer_call_id, std::uint64_t call)
        : session(session), peer_call_id(peer_call_id), call(call) {}

    void OnExecutionReply(const wire::ExecutionReply& reply) override;
    void OnExecutionLost(ErrorKind kind, std::string_view reason) override;

    std::uint64_t Call() const { return this->call; }

   private:
    PeerSession& session;
    /// Number of the call for the other node, and for the executor.
    const std::uint64_t peer_call_id;
    const std::uint64_t call;
  };

  void OnFrame(wire::PeerFrame& frame) override;
  void OnStreamClosed(std::string_view reason) override;
  void OnRequest(wire::ExecutionRequest& request);

  LocalExecutor& executor;
  const std::string& local_service;
  CatalogStore& catalog_store;
  std::uint64_t& next_call_id;
  /// What the other node said in its first frame.
  std::string caller_service;
  bool service_matches = false;
  Ref<FrameStream> stream;
  /// By the call number of the other node.
  std::map<std::uint64_t, std::unique_ptr<Execution>> executions;
  Ref<PeerSession> self;
};

}  // namespace masticpin
