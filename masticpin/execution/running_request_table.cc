#include "masticpin/execution/running_request_table.h"

#include <algorithm>

namespace masticpin {

void RunningRequestTable::Add(std::string_view id, RunningRequest& running) {
  if (!id.empty()) {
    this->requests.emplace(std::string(id), &running);
  }
}

void RunningRequestTable::Remove(std::string_view id, const RunningRequest& running) {
  const auto [first, last] = this->requests.equal_range(id);
  const auto found =
      std::find_if(first, last, [&](const auto& entry) { return entry.second == &running; });
  if (found != last) {
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
