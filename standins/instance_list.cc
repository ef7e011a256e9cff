#include "standins/instance_list.h"

#include <utility>

namespace masticpin::standins {

bool InstanceList::SetState(const std::string& name, const std::string& state) {
  const std::lock_guard lock(this->mutex);
  nlohmann::json instances = this->list.Newest();
  for (auto instance = instances.begin(); instance != instances.end(); ++instance) {
    if (instance->value("name", "") != name) {
      continue;
    }
    if (state == "gone") {
      instances.erase(instance);
    } else {
      (*instance)["state"] = state;
    }
    this->list.Set(this->clock.Now(), std::move(instances));
    return true;
  }
  return false;
}

void InstanceList::Replace(nlohmann::json instances) {
  const std::lock_guard lock(this->mutex);
  this->list.Set(this->clock.Now(), std::move(instances));
}

void InstanceList::SetLag(Duration lag) {
  const std::lock_guard lock(this->mutex);
  this->list.SetLag(lag);
}

nlohmann::json InstanceList::Visible() {
  const std::lock_guard lock(this->mutex);
  return this->list.Get(this->clock.Now());
}

}  // namespace masticpin::standins
