#pragma once

namespace masticpin {

/// Returns whether the status is that of a final response (RFC 9110, section 15). Interim statuses
/// and numbers outside of the classes are none.
constexpr bool IsFinalStatus(unsigned status) {
  return status >= 200 && status <= 599;
}

}  // namespace masticpin
