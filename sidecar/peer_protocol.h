#pragma once

#include <cstdint>

#include "masticpin/error/error_info.h"
#include "masticpin/routing/load_report.h"
#include "masticpin/routing/load_report.pb.h"

namespace masticpin {

/// Version of the frames between nodes. A change that old nodes cannot read raises it.
inline constexpr std::uint32_t kPeerProtocolVersion = 1;

LoadReport DecodeLoadReport(const wire::LoadReport& load);
void EncodeLoadReport(const LoadReport& load, wire::LoadReport& message);

}  // namespace masticpin
