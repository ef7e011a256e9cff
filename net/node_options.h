#pragma once

#include "masticpin/base/time.h"

namespace masticpin {

/// Times of a Node that operators do not set.
struct NodeOptions {
  /// Time between two reads of the platform's list of instances in a small fleet.
  Duration list_period = std::chrono::seconds(2);
  /// Reads of the list per second that all nodes together make at most; the period grows with the
  /// fleet.
  double list_fleet_rate = 200;
  /// A starting node waits for the list for this time, then starts without it.
  Duration list_wait = std::chrono::seconds(10);
  /// A stopping node still answers for this time, so that peers which did not hear of its departure
  /// get a truthful refusal. It is the bound on new requests to a leaving server.
  Duration leave_notice = std::chrono::seconds(3);
};

}  // namespace masticpin
