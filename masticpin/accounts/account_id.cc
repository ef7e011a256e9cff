#include "masticpin/accounts/account_id.h"

#include <xxhash.h>

namespace masticpin {

std::uint64_t AccountId(std::string_view name) {
  return XXH3_64bits(name.data(), name.size());
}

}  // namespace masticpin
