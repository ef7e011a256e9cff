#include "masticpin/execution/running_request_table.h"

namespace masticpin {

void RunningRequestTable::Add(std::string_view id, RunningRequest& running) {
  this->requests.emplace(std::string(id), &running);
}

void RunningRequestTable::Remove(std::string_view id, const RunningRequest& running) {
  const auto found = this->requests.find(id);
  if (found != this->requests.end() && found->second == &running) {
    this->requests.erase(found);
  }
}

RunningRequest* RunningRequestTable::FindParent(std::string_view id) const {
  const std::size_t dot = id.rfind('.');
  if (dot == std::string_view::npos) {
    return nullptr;
  }
  const auto found = this->requests.find(id.substr(0, dot));
  return found == this->requests.end() ? nullptr : found->second;
}

}  // namespace masticpin
