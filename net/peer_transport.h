#pragma once

#include <atomic>
#include <chrono>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>
#include <zmq.hpp>

#include "masticpin/wire/envelope.pb.h"
#include "net/peer_handler.h"
#include "net/peer_transport_settings.h"

namespace masticpin {

/// Transports messages between nodes over ZeroMQ. One ROUTER socket receives from all nodes; one
/// DEALER socket for each peer sends to it. Every message is one-way; a reply goes to the endpoint
/// of the node that the request names as its sender.
class PeerTransport {
 public:
  /// Binds the endpoint and starts the thread. `handler` must outlive the transport. Throws
  /// zmq::error_t if the endpoint cannot be bound or a key is not valid.
  PeerTransport(const PeerTransportSettings& settings, PeerHandler& handler);
  ~PeerTransport();

  /// Opens the connection to a peer ahead of the first message. Thread-safe.
  void Connect(const std::string& endpoint);

  /// Closes the connection to a peer. Messages that are still queued for it are dropped.
  /// Thread-safe.
  void Disconnect(const std::string& endpoint);

  /// Queues one message for a peer. Does not block. Thread-safe.
  void Send(const std::string& endpoint, wire::Envelope envelope);

  /// Number of open connections to peers. Thread-safe.
  std::size_t Connections() const { return this->connections; }

  /// Ends the thread. Messages that are already queued are still sent; those that cannot be handed
  /// to the network within kLingerMs are dropped.
  void Stop();

 private:
  enum class CommandKind { kConnect, kDisconnect, kSend, kStop };
  struct Command {
    CommandKind kind;
    std::string endpoint;
    wire::Envelope envelope;
  };

  struct Peer {
    zmq::socket_t socket;
    std::chrono::steady_clock::time_point last_used;
  };

  void Post(Command command);
  void Run();
  /// Runs all queued commands; returns false after kStop.
  bool RunCommands();
  void SendNow(const std::string& endpoint, const wire::Envelope& envelope);
  void Receive();
  void CloseIdlePeers();
  /// Returns nullptr if the endpoint is not valid.
  zmq::socket_t* FindOrConnect(const std::string& endpoint);
  void ApplyCommonOptions(zmq::socket_t& socket) const;

  const PeerTransportSettings settings;
  PeerHandler& handler;
  zmq::context_t context;
  zmq::socket_t router;
  zmq::socket_t wake_receiver;

  std::mutex mutex;
  zmq::socket_t wake_sender;
  std::vector<Command> commands;

  /// Used only by the transport's thread.
  std::unordered_map<std::string, Peer> peers;
  std::chrono::steady_clock::time_point next_idle_check{};
  std::string buffer;
  wire::Envelope received;
  std::atomic<std::size_t> connections = 0;
  std::thread thread;
};

}  // namespace masticpin
