#pragma once

#include <sys/types.h>

#include <optional>
#include <string>

#include "review/standins/http_connection.h"
#include "review/standins/record.h"

namespace review {

/// What the platform's template is filled in with.
struct NodeSettings {
  std::string name;
  std::string service;
  std::string zone;
  std::string ip;
  Address store;
  /// Ports, the same on all machines.
  std::uint16_t outbound = 0;
  std::uint16_t inbound = 0;
  std::uint16_t ready = 0;
  std::uint16_t metrics = 0;
  std::uint16_t app = 0;
  int memory_mb = 260;
  int grace_s = 6;
  int drain_ms = 2000;
};

/// A process of `masticpin-sidecar`, started with the command and the template of the deploy file.
class Node {
 public:
  /// `folder` is where the settings file and the log go.
  Node(Record& record, NodeSettings settings, std::string folder);
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;
  ~Node();

  /// Must be called on the main thread: the process ends with the thread that started it.
  bool Start();
  void Signal(int number);
  /// Returns the status of the process once it has ended, and forgets it.
  std::optional<int> TakeExit();
  bool IsRunning() const { return this->pid > 0; }

  /// Asks the node whether it is ready.
  bool IsReady() const;
  bool WaitUntilReady(Milliseconds timeout) const;

  /// Resident memory of the process in bytes.
  std::size_t ResidentBytes() const;

  Address Outbound() const { return {this->settings.ip, this->settings.outbound}; }
  const std::string& Name() const { return this->settings.name; }

 private:
  std::string FillTemplate() const;

  Record& record;
  const NodeSettings settings;
  const std::string folder;
  pid_t pid = 0;
};

}  // namespace review
