#include "sidecar/caller_check.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <cstddef>

namespace masticpin {
namespace {

/// Longer keys are not looked up. Keys that operators hand out have a few dozen characters.
constexpr std::size_t kMaxKeyBytes = 4096;

/// Returns the key in the value of the authorization field, or an empty view if it is malformed.
std::string_view ParseKey(std::string_view value, std::string_view scheme) {
  if (value.size() <= scheme.size() || value[scheme.size()] != ' ' ||
      !boost::beast::iequals(value.substr(0, scheme.size()), scheme)) {
    return {};
  }
  value.remove_prefix(scheme.size());
  value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
  return value.size() > kMaxKeyBytes ? std::string_view() : value;
}

}  // namespace

CallerCheck CheckCaller(const RoutingConfiguration& configuration,
                        const Route& route,
                        const HttpRequest& request,
                        const HttpDialect& dialect,
                        std::string_view id,
                        bool has_parent) {
  CallerCheck check;
  if (!configuration.RequiresKeys()) {
    check.inner = has_parent;
    return check;
  }
  const std::size_t key_fields = request.fields.Count(dialect.authorization);
  if (key_fields == 0 && has_parent) {
    check.inner = true;
    return check;
  }
  if (key_fields == 1) {
    const std::string_view key =
        ParseKey(request.fields.Find(dialect.authorization), dialect.key_scheme);
    check.account = key.empty() ? nullptr : configuration.FindAccount(key);
  }
  if (check.account == nullptr && !route.is_public) {
    // The request that caused an inner call may have ended, or the node may have restarted.
    const bool looks_inner = key_fields == 0 && id.find('.') != std::string_view::npos;
    check.result =
        looks_inner ? CallerCheck::Result::kUnknownParent : CallerCheck::Result::kUnauthenticated;
  }
  return check;
}

}  // namespace masticpin
