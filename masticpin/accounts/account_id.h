#pragma once

#include <cstdint>
#include <string_view>

namespace masticpin {

/// Number that identifies a client account in messages between nodes: a hash of its name.
std::uint64_t AccountId(std::string_view name);

}  // namespace masticpin
