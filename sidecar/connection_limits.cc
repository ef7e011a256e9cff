#include "sidecar/connection_limits.h"

#include <sys/resource.h>

#include <algorithm>

namespace masticpin {
namespace {

/// Used if the limit of descriptors cannot be read; the usual default of Linux.
constexpr rlim_t kDefaultDescriptors = 1024;

/// Share of the descriptors that callers may take, in quarters. The rest is for peers, the upstream
/// and the registry.
constexpr rlim_t kCallerQuarters = 3;

/// Readiness and metrics are read over a few connections.
constexpr rlim_t kObserverDivisor = 32;

/// Memory of a connection whose caller has sent an incomplete head of the maximum size: the
/// unparsed bytes, the read buffer and the state, with room for other uses of the memory.
constexpr std::size_t kConnectionMemory = std::size_t{128} << 10;

}  // namespace

ConnectionLimits ReadConnectionLimits(std::size_t memory_bytes) {
  rlimit descriptors{};
  if (getrlimit(RLIMIT_NOFILE, &descriptors) != 0) {
    descriptors.rlim_cur = kDefaultDescriptors;
  }
  ConnectionLimits limits;
  limits.max_callers = std::min<std::size_t>(descriptors.rlim_cur / 4 * kCallerQuarters,
                                             memory_bytes / kConnectionMemory);
  limits.max_observers = std::max<std::size_t>(descriptors.rlim_cur / kObserverDivisor, 1);
  return limits;
}

}  // namespace masticpin
