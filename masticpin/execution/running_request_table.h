#pragma once

#include <string>
#include <string_view>
#include <unordered_map>

#include "masticpin/execution/running_request.h"

namespace masticpin {

/// The requests that the local instance is running, by id. An inner call is matched to the request
/// that caused it by the id of the call, which upstreams form by appending a dot and a suffix to
/// the id of the request. Two runs may have the same id for a moment, when a request is repeated at
/// the same instance. Not thread-safe.
class RunningRequestTable {
 public:
  /// `running` must stay valid, at the same address, until Remove(). A request without an
  /// id is not added.
  void Add(std::string_view id, RunningRequest& running);
  void Remove(std::string_view id, const RunningRequest& running);

  /// Returns the request that caused the call `id`, or nullptr.
  RunningRequest* FindParent(std::string_view id) const;

  /// Returns the prefix of `id` that identifies the first request of the call chain.
  static std::string_view RootOf(std::string_view id) { return id.substr(0, id.find('.')); }

 private:
  struct StringHash {
    using is_transparent = void;  // NOLINT(readability-identifier-naming)
    std::size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>()(text);
    }
  };

  std::unordered_multimap<std::string, RunningRequest*, StringHash, std::equal_to<>> requests;
};

}  // namespace masticpin
