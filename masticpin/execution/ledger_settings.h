#pragma once

#include <chrono>
#include <cstddef>

namespace masticpin {

/// Limits of an ActionLedger. An entry takes 144 bytes of heap without its response and 8 bytes in
/// the hash table, so a full ledger takes 20 MB plus the stored responses. At the average load of a
/// deployment of the target size (87 calls/s per node, 120 s), 10,400 entries take 1.5 MB.
struct LedgerSettings {
  // Enough for 1,000 keyed actions/s per node during the maximum lifetime of a key, 120 s. This is
  // more than ten times the average load at the target size (1.3 million calls/s on 15,000 nodes).
  // A full ledger refuses new actions with ledger_full.
  std::size_t capacity = 131'072;
  // Maximum size of a stored response in bytes. A larger response is not stored, and a retry of its
  // action is answered with already_complete.
  std::size_t max_stored_response = 65'536;
  // Total size of all stored responses in bytes. Above it the oldest are dropped; their entries
  // stay complete.
  std::size_t stored_bytes = 16'777'216;
  // Maximum number of expired entries that one timer call frees: about 0.1 ms of work.
  std::size_t sweep_batch = 1'000;
  // Delay between two such calls, during which the owner serves requests.
  std::chrono::milliseconds sweep_delay{2};
};

}  // namespace masticpin
