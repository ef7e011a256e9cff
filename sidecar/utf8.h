#pragma once

#include <string_view>

namespace masticpin {

/// Whether `text` is valid UTF-8.
bool IsUtf8(std::string_view text);

}  // namespace masticpin
