#pragma once

#include <cstddef>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "masticpin/routing/client_account.h"
#include "masticpin/routing/key_hash.h"

namespace masticpin {

/// The client accounts of one configuration. Immutable after construction.
class ClientAccountTable {
 public:
  /// A key that several accounts list belongs to none of them, because it would not identify its
  /// sender.
  explicit ClientAccountTable(std::vector<ClientAccount> accounts);

  /// Returns the account that holds `key`, or nullptr.
  const ClientAccount* FindByKey(std::string_view key) const;

  const std::vector<ClientAccount>& Accounts() const { return this->accounts; }

  /// Number of keys that were dropped because several accounts list them.
  std::size_t AmbiguousKeys() const { return this->ambiguous_keys; }

 private:
  static constexpr std::size_t kNoAccount = static_cast<std::size_t>(-1);

  std::vector<ClientAccount> accounts;
  /// Index in `accounts`, or kNoAccount for an ambiguous key.
  std::unordered_map<KeyHash, std::size_t, KeyHashHasher> accounts_by_key;
  std::size_t ambiguous_keys = 0;
};

}  // namespace masticpin
