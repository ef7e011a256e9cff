#pragma once

#include <cstdint>

#include "masticpin/base/time.h"
#include "masticpin/error/error_info.h"
#include "masticpin/routing/load_report.h"
#include "masticpin/routing/load_report.pb.h"

namespace masticpin {

/// Version of the protocol between nodes. Incremented by changes that older nodes cannot read.
inline constexpr std::uint32_t kPeerProtocolVersion = 1;

/// Converts a point on the clock of this process to the reading that messages carry, and back.
std::uint64_t ToClockMicroseconds(TimePoint time);
Duration FromClockMicroseconds(std::uint64_t microseconds);

/// Converts the time until a deadline to the form that messages carry; 0 if the deadline has
/// passed.
std::uint64_t ToRemainingMicroseconds(Duration remaining);

LoadReport DecodeLoadReport(const wire::LoadReport& load);
void EncodeLoadReport(const LoadReport& load, wire::LoadReport& message);

}  // namespace masticpin
