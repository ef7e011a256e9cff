#pragma once

#include "masticpin/base/time.h"

namespace masticpin {

/// Times of a Node that operators do not set.
struct NodeOptions {
  /// Time between two reads of the platform's list of instances in a small fleet.
  Duration list_read_interval = std::chrono::seconds(2);
  /// The period grows by this for each member: an entry has about 150 bytes, so that the list costs
  /// a node at most 2 KB/s. Between two reads nodes learn of changes from each other.
  Duration list_read_interval_per_member = std::chrono::milliseconds(75);
  /// A starting node waits for the list for this time, then starts without it.
  Duration max_list_wait = std::chrono::seconds(10);
  /// A stopping node still answers for this time, so that peers which did not hear of its departure
  /// get a truthful refusal. It is the bound on new requests to a leaving server.
  Duration leave_notice = std::chrono::seconds(3);
};

}  // namespace masticpin
