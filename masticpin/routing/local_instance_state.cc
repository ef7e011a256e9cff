#include "masticpin/routing/local_instance_state.h"

namespace masticpin {

LocalEntryEffect LocalInstanceState::OnEntry(const UpstreamInstance* entry) {
  if (this->unlisted && (entry == nullptr || entry->name != this->name)) {
    return LocalEntryEffect::kIgnored;
  }
  this->unlisted = false;
  if (entry == nullptr) {
    this->leaving = !this->name.empty();
    return LocalEntryEffect::kSameProcess;
  }
  this->leaving = entry->state == InstanceState::kDraining;
  if (entry->name == this->name && entry->incarnation == this->incarnation) {
    return LocalEntryEffect::kSameProcess;
  }
  this->name = entry->name;
  this->incarnation = entry->incarnation;
  return LocalEntryEffect::kNewProcess;
}

void LocalInstanceState::OnEntryMissing(std::string_view missing_name) {
  if (this->unlisted && missing_name == this->name &&
      this->clock.Now() - this->reported_at >= this->settings.registration_time) {
    this->leaving = true;
  }
}

bool LocalInstanceState::OnNameReported(const std::string& reported_name) {
  if (reported_name.empty() || reported_name == this->name) {
    return false;
  }
  this->name = reported_name;
  this->incarnation = 0;
  this->leaving = false;
  this->unlisted = true;
  this->reported_at = this->clock.Now();
  return true;
}

}  // namespace masticpin
