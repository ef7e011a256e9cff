#include "net/system_random.h"

#include <sodium.h>
#include <spdlog/spdlog.h>

#include <cstdlib>

namespace masticpin {

SystemRandom::SystemRandom() {
  // Keys must not be predictable, so a node must not run without a random source.
  if (sodium_init() < 0) {
    spdlog::critical("event=random_source_unavailable");
    std::abort();
  }
}

std::uint64_t SystemRandom::Next() {
  std::uint64_t value = 0;
  randombytes_buf(&value, sizeof(value));
  return value;
}

}  // namespace masticpin
