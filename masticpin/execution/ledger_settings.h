#pragma once

#include <chrono>
#include <cstddef>

namespace masticpin {

/// Bounds of an ActionLedger. An entry takes 144 bytes of heap without its response and 8 bytes in
/// the hash table, so that a full ledger takes 20 MB plus the stored responses; at the average of
/// the target size (87 calls a second and node, 120 s) 10,400 entries take 1.5 MB.
struct LedgerSettings {
  // 120 s, the longest life of a key, at 1,000 keyed actions a second and node, which is more than
  // ten times the average at the target size (1.3 million calls/s over 15,000 nodes).
  std::size_t capacity = 131'072;
  // A larger response is not stored; a retry is answered already_complete.
  std::size_t max_stored_response = 65'536;
  // Stored responses of all entries. Above it the oldest are dropped, their entries stay complete.
  std::size_t stored_bytes = 16'777'216;
  // Expired entries that one timer call frees: about 0.1 ms of work.
  std::size_t sweep_batch = 1'000;
  // Pause between two such calls, in which the owner serves requests.
  std::chrono::milliseconds sweep_pause{2};
};

}  // namespace masticpin
