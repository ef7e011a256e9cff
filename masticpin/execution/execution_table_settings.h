#pragma once

#include <chrono>
#include <cstddef>

namespace masticpin {

/// Limits of an ExecutionTable. A key takes 72 bytes of heap without its reply and 8 bytes in the
/// hash table: 10.5 MB when full.
struct ExecutionTableSettings {
  // Two epochs at 1,000 executions per second, as for the ledger.
  std::size_t capacity = 131'072;
  // Total size of all stored replies in bytes. Above it the oldest are dropped; their keys stay
  // closed.
  std::size_t stored_bytes = 4'194'304;
  // Maximum number of expired keys that one timer call frees, and the delay between two calls.
  std::size_t sweep_batch = 1'000;
  std::chrono::milliseconds sweep_delay{2};
};

}  // namespace masticpin
