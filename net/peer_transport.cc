#include "net/peer_transport.h"

#include <spdlog/spdlog.h>

#include <array>
#include <utility>

namespace masticpin {
namespace {

constexpr char kWakeEndpoint[] = "inproc://masticpin-wake";

/// How long a stopping transport tries to hand its last messages to the network. A peer that is
/// reading receives them within a round trip.
constexpr int kLingerMs = 200;

}  // namespace

PeerTransport::PeerTransport(const PeerTransportSettings& settings, PeerHandler& handler)
    : settings(settings),
      handler(handler),
      context(1),
      router(this->context, zmq::socket_type::router),
      wake_receiver(this->context, zmq::socket_type::pair),
      wake_sender(this->context, zmq::socket_type::pair) {
  this->ApplyCommonOptions(this->router);
  if (!this->settings.secret_key.empty()) {
    this->router.set(zmq::sockopt::curve_server, true);
    this->router.set(zmq::sockopt::curve_secretkey, this->settings.secret_key);
  }
  this->router.bind(this->settings.bind_endpoint);
  this->wake_receiver.bind(kWakeEndpoint);
  this->wake_sender.connect(kWakeEndpoint);
  this->thread = std::thread([this] { this->Run(); });
}

PeerTransport::~PeerTransport() {
  this->Stop();
}

void PeerTransport::Connect(const std::string& endpoint) {
  this->Post({CommandKind::kConnect, endpoint, {}});
}

void PeerTransport::Disconnect(const std::string& endpoint) {
  this->Post({CommandKind::kDisconnect, endpoint, {}});
}

void PeerTransport::Send(const std::string& endpoint, wire::Envelope envelope) {
  this->Post({CommandKind::kSend, endpoint, std::move(envelope)});
}

void PeerTransport::Stop() {
  if (this->thread.joinable()) {
    this->Post({CommandKind::kStop, {}, {}});
    this->thread.join();
  }
}

void PeerTransport::Post(Command command) {
  const std::lock_guard lock(this->mutex);
  this->commands.push_back(std::move(command));
  // One wake-up is enough for all commands that the thread has not fetched yet.
  if (this->commands.size() == 1) {
    this->wake_sender.send(zmq::message_t(), zmq::send_flags::dontwait);
  }
}

void PeerTransport::Run() {
  std::array<zmq::pollitem_t, 2> items = {{
      {this->wake_receiver.handle(), 0, ZMQ_POLLIN, 0},
      {this->router.handle(), 0, ZMQ_POLLIN, 0},
  }};
  bool running = true;
  while (running) {
    zmq::poll(items.data(), items.size(), this->settings.idle_timeout / 2);
    if ((items[0].revents & ZMQ_POLLIN) != 0) {
      zmq::message_t wake;
      while (this->wake_receiver.recv(wake, zmq::recv_flags::dontwait)) {
      }
      running = this->RunCommands();
    }
    if ((items[1].revents & ZMQ_POLLIN) != 0) {
      this->Receive();
    }
    this->CloseIdlePeers();
  }
  for (auto& [endpoint, peer] : this->peers) {
    peer.socket.set(zmq::sockopt::linger, kLingerMs);
    peer.socket.close();
  }
  this->peers.clear();
  this->router.close();
}

bool PeerTransport::RunCommands() {
  std::vector<Command> taken_commands;
  {
    const std::lock_guard lock(this->mutex);
    taken_commands.swap(this->commands);
  }
  for (Command& command : taken_commands) {
    switch (command.kind) {
      case CommandKind::kConnect:
        this->FindOrConnect(command.endpoint);
        break;
      case CommandKind::kDisconnect:
        this->peers.erase(command.endpoint);
        this->connections = this->peers.size();
        break;
      case CommandKind::kSend:
        this->SendNow(command.endpoint, command.envelope);
        break;
      case CommandKind::kStop:
        return false;
    }
  }
  return true;
}

void PeerTransport::SendNow(const std::string& endpoint, const wire::Envelope& envelope) {
  zmq::socket_t* peer = this->FindOrConnect(endpoint);
  envelope.SerializeToString(&this->buffer);
  if (peer == nullptr ||
      !peer->send(zmq::buffer(this->buffer), zmq::send_flags::dontwait).has_value()) {
    this->handler.OnSendFailed(endpoint, envelope);
  }
}

void PeerTransport::Receive() {
  // Receive a limited batch, so that a flood of messages does not delay commands.
  constexpr int kBatch = 64;
  zmq::message_t identity;
  zmq::message_t payload;
  for (int i = 0; i < kBatch; ++i) {
    if (!this->router.recv(identity, zmq::recv_flags::dontwait)) {
      return;
    }
    bool more_parts = identity.more();
    if (more_parts) {
      (void)this->router.recv(payload, zmq::recv_flags::none);
      more_parts = payload.more();
    }
    const bool single_part = identity.more() && !more_parts;
    while (more_parts) {
      zmq::message_t rest;
      (void)this->router.recv(rest, zmq::recv_flags::none);
      more_parts = rest.more();
    }
    if (!single_part || payload.size() > this->settings.max_message_bytes ||
        !this->received.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
      this->handler.OnMalformed(payload.size());
      continue;
    }
    this->handler.OnEnvelope(this->received);
  }
}

void PeerTransport::CloseIdlePeers() {
  const auto now = std::chrono::steady_clock::now();
  if (now < this->next_idle_check) {
    return;
  }
  this->next_idle_check = now + this->settings.idle_timeout / 2;
  std::erase_if(this->peers, [this, now](const auto& entry) {
    return now - entry.second.last_used >= this->settings.idle_timeout;
  });
  this->connections = this->peers.size();
}

zmq::socket_t* PeerTransport::FindOrConnect(const std::string& endpoint) {
  const auto found = this->peers.find(endpoint);
  if (found != this->peers.end()) {
    found->second.last_used = std::chrono::steady_clock::now();
    return &found->second.socket;
  }
  zmq::socket_t socket(this->context, zmq::socket_type::dealer);
  this->ApplyCommonOptions(socket);
  socket.set(zmq::sockopt::sndhwm, this->settings.send_queue_messages);
  if (!this->settings.secret_key.empty()) {
    // All nodes of a deployment hold the same key pair, so the peer's public key is ours, too.
    socket.set(zmq::sockopt::curve_serverkey, this->settings.public_key);
    socket.set(zmq::sockopt::curve_publickey, this->settings.public_key);
    socket.set(zmq::sockopt::curve_secretkey, this->settings.secret_key);
  }
  try {
    socket.connect(endpoint);
  } catch (const zmq::error_t& error) {
    // Endpoints come from other processes, so an invalid one must not end this process.
    spdlog::warn("event=connect_failed endpoint=\"{}\" error=\"{}\"", endpoint, error.what());
    return nullptr;
  }
  Peer peer{std::move(socket), std::chrono::steady_clock::now()};
  zmq::socket_t& stored_socket =
      this->peers.emplace(endpoint, std::move(peer)).first->second.socket;
  this->connections = this->peers.size();
  return &stored_socket;
}

void PeerTransport::ApplyCommonOptions(zmq::socket_t& socket) const {
  const auto interval = static_cast<int>(this->settings.heartbeat_interval.count());
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::maxmsgsize, static_cast<std::int64_t>(this->settings.max_message_bytes));
  socket.set(zmq::sockopt::heartbeat_ivl, interval);
  socket.set(zmq::sockopt::heartbeat_timeout, 3 * interval);
  socket.set(zmq::sockopt::reconnect_ivl, 50);
  socket.set(zmq::sockopt::reconnect_ivl_max, 2000);
}

}  // namespace masticpin
