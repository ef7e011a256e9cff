#include "masticpin/accounts/owner_directory.h"

#include <algorithm>

#include "masticpin/accounts/owner_selection.h"

namespace masticpin {

void OwnerDirectory::AddInstance(const std::string& name, const SocketAddress& address) {
  const auto [entry, added] = this->addresses.insert_or_assign(name, address);
  if (added) {
    this->names.insert(std::lower_bound(this->names.begin(), this->names.end(), name), name);
    this->candidates.clear();
  }
}

void OwnerDirectory::RemoveInstance(std::string_view name) {
  const auto found = this->addresses.find(name);
  if (found == this->addresses.end()) {
    return;
  }
  this->addresses.erase(found);
  this->names.erase(std::lower_bound(this->names.begin(), this->names.end(), name));
  this->candidates.clear();
  this->OnAnswer(name);
}

const SocketAddress* OwnerDirectory::AddressOf(std::string_view name) const {
  const auto found = this->addresses.find(name);
  return found == this->addresses.end() ? nullptr : &found->second;
}

const OwnerDirectory::Candidates& OwnerDirectory::CandidatesOf(std::uint64_t account) {
  const auto found = this->candidates.find(account);
  if (found != this->candidates.end()) {
    return found->second;
  }
  if (this->candidates.size() >= this->settings.max_accounts) {
    this->candidates.clear();
  }
  const OwnerCandidates selected = SelectOwners(account, this->names);
  return this->candidates
      .emplace(account, Candidates{std::string(selected[0]), std::string(selected[1])})
      .first->second;
}

std::string OwnerDirectory::OwnerOf(std::uint64_t account) {
  for (const std::string& instance : this->CandidatesOf(account)) {
    if (!instance.empty() && !this->IsSilent(instance) && !this->HasDeclined(account, instance)) {
      return instance;
    }
  }
  return "";
}

void OwnerDirectory::OnAnswer(std::string_view instance) {
  const auto found = this->silent_nodes.find(instance);
  if (found != this->silent_nodes.end()) {
    this->silent_nodes.erase(found);
  }
}

void OwnerDirectory::OnLost(std::string_view instance) {
  if (this->AddressOf(instance) == nullptr) {
    return;
  }
  SilentNode& node = this->silent_nodes[std::string(instance)];
  if (++node.losses >= this->settings.max_losses) {
    node.backoff =
        std::clamp(node.backoff * 2, this->settings.min_silence, this->settings.max_silence);
    node.silent_until = this->clock.Now() + node.backoff;
  }
}

void OwnerDirectory::OnDeclined(std::uint64_t account, const std::string& instance) {
  if (this->declined_until.size() >= this->settings.max_accounts) {
    this->declined_until.clear();
  }
  this->declined_until[{account, instance}] = this->clock.Now() + this->settings.decline_time;
}

void OwnerDirectory::OnHandedOver(std::uint64_t account, const std::string& instance) {
  this->OnDeclined(account, instance);
  const std::string& first = this->CandidatesOf(account)[0];
  if (first != instance) {
    this->OnAnswer(first);
    this->declined_until.erase({account, first});
  }
}

void OwnerDirectory::OnTakenOver(std::uint64_t account) {
  this->declined_until.erase({account, this->CandidatesOf(account)[0]});
}

void OwnerDirectory::RemoveExpired() {
  const TimePoint now = this->clock.Now();
  std::erase_if(this->declined_until, [now](const auto& entry) { return entry.second <= now; });
}

bool OwnerDirectory::IsSilent(std::string_view instance) const {
  const auto found = this->silent_nodes.find(instance);
  return found != this->silent_nodes.end() && found->second.silent_until > this->clock.Now();
}

bool OwnerDirectory::HasDeclined(std::uint64_t account, const std::string& instance) const {
  const auto found = this->declined_until.find({account, instance});
  return found != this->declined_until.end() && found->second > this->clock.Now();
}

}  // namespace masticpin
