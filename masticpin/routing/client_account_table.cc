#include "masticpin/routing/client_account_table.h"

#include <utility>

namespace masticpin {

ClientAccountTable::ClientAccountTable(std::vector<ClientAccount> accounts)
    : accounts(std::move(accounts)) {
  for (std::size_t i = 0; i < this->accounts.size(); ++i) {
    for (const KeyHash& key : this->accounts[i].keys) {
      const auto [entry, added] = this->accounts_by_key.emplace(key, i);
      if (!added && entry->second != i && entry->second != kNoAccount) {
        entry->second = kNoAccount;
        ++this->ambiguous_keys;
      }
    }
  }
}

const ClientAccount* ClientAccountTable::FindByKey(std::string_view key) const {
  const auto found = this->accounts_by_key.find(KeyHash::Of(key));
  return found == this->accounts_by_key.end() || found->second == kNoAccount
             ? nullptr
             : &this->accounts[found->second];
}

}  // namespace masticpin
