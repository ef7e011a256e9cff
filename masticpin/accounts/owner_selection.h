#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace masticpin {

/// The instances whose nodes may hold the allotment of an account, in the order in which they are
/// tried; empty if there are fewer.
using OwnerCandidates = std::array<std::string_view, 2>;

/// Chooses the candidates of an account by rendezvous hashing: nodes that know the same instances
/// choose the same ones, and a change of one instance moves only the accounts that it owned.
OwnerCandidates SelectOwners(std::uint64_t account, std::span<const std::string> instances);

}  // namespace masticpin
