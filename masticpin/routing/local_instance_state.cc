#include "masticpin/routing/local_instance_state.h"

namespace masticpin {

LocalEntryEffect LocalInstanceState::OnEntry(const UpstreamInstance* entry) {
  bool known =
      entry != nullptr && entry->name == this->name && entry->incarnation == this->incarnation;
  if (!this->reported_name.empty()) {
    const bool expired = this->clock.Now() - this->reported_at >= this->settings.registration_time;
    if (entry == nullptr || (known && !expired)) {
      return LocalEntryEffect::kIgnored;
    }
    // A known process that is tried again must be watched again, too.
    this->reported_name.clear();
    known = false;
  }
  if (entry == nullptr) {
    this->leaving = !this->name.empty();
    return LocalEntryEffect::kSameProcess;
  }
  this->leaving = entry->state == InstanceState::kDraining;
  if (known) {
    return LocalEntryEffect::kSameProcess;
  }
  this->name = entry->name;
  this->incarnation = entry->incarnation;
  return LocalEntryEffect::kNewProcess;
}

bool LocalInstanceState::OnNameReported(const std::string& new_name) {
  if (new_name.empty() || new_name == this->name || new_name == this->reported_name) {
    return false;
  }
  this->reported_name = new_name;
  this->reported_at = this->clock.Now();
  this->leaving = true;
  return true;
}

}  // namespace masticpin
