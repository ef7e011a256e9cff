#pragma once

#include "masticpin/base/time.h"

namespace masticpin {

/// Timing parameters of a Node that operators cannot set.
struct NodeOptions {
  /// Average interval between two reads of the platform's instance list in a small fleet.
  Duration list_read_interval = std::chrono::seconds(2);
  /// The average interval is at least this times the number of members: an entry has about 150
  /// bytes, so that the list costs a node at most 2 KB/s. Between two reads, nodes learn of changes
  /// from each other.
  Duration list_read_interval_per_member = std::chrono::milliseconds(75);
  /// Maximum time that a starting node waits for the instance list before it starts without it.
  Duration max_list_wait = std::chrono::seconds(10);
  /// Minimum time that a stopping node keeps responding, so that peers that did not receive its
  /// leave notice get a correct refusal. This also limits how long a leaving server may get new
  /// requests.
  Duration leave_notice = std::chrono::seconds(3);
};

}  // namespace masticpin
