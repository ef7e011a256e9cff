#include "masticpin/accounts/owner_selection.h"

#include <xxhash.h>

namespace masticpin {

OwnerCandidates SelectOwners(std::uint64_t account, std::span<const std::string> instances) {
  OwnerCandidates candidates;
  std::array<std::uint64_t, 2> weights{};
  for (const std::string& name : instances) {
    const std::uint64_t weight = XXH3_64bits_withSeed(name.data(), name.size(), account);
    if (candidates[0].empty() || weight > weights[0]) {
      candidates[1] = candidates[0];
      weights[1] = weights[0];
      candidates[0] = name;
      weights[0] = weight;
    } else if (candidates[1].empty() || weight > weights[1]) {
      candidates[1] = name;
      weights[1] = weight;
    }
  }
  return candidates;
}

}  // namespace masticpin
