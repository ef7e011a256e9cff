#pragma once

#include <cstdint>

#include "masticpin/base/time.h"
#include "masticpin/error/error_info.h"
#include "masticpin/routing/load_report.h"
#include "masticpin/routing/load_report.pb.h"
#include "masticpin/routing/work_time_report.h"

namespace masticpin {

/// Version of the protocol between nodes. Incremented by changes that older nodes cannot read.
inline constexpr std::uint32_t kPeerProtocolVersion = 1;

/// A larger body is sent in parts to a peer that accepts them. The size up to which BodyMemory
/// counts a body as small, of which copies matter little.
inline constexpr std::size_t kMaxInlineBodyBytes = std::size_t{64} << 10;

/// Silence of a peer with requests in progress, in either direction, after which a keep-alive is
/// sent, and the time that the peer has to reply before the connection is given up. A peer that
/// exhausted its CPU quota is silent for up to 0.1 s, a slowed one for several tenths of a second.
/// The sum of both times is below the minimum deadline of requests that are retried elsewhere, so
/// that time for the retry is left. Both sides use the same times: once one has given up, nobody
/// waits for replies.
inline constexpr Duration kSilenceBeforeKeepAlive = std::chrono::milliseconds(500);
inline constexpr Duration kKeepAliveTimeout = std::chrono::milliseconds(700);

/// Silence of a peer after which its connection is given up if its host does not respond either.
inline constexpr Duration kHostTimeout = std::chrono::milliseconds(2500);

/// Converts a point on the clock of this process to the reading that messages carry, and back.
std::uint64_t ToClockMicroseconds(TimePoint time);
Duration FromClockMicroseconds(std::uint64_t microseconds);

/// Converts the time until a deadline to the form that messages carry; 0 if the deadline has
/// passed.
std::uint64_t ToRemainingMicroseconds(Duration remaining);

LoadReport DecodeLoadReport(const wire::LoadReport& load);
void EncodeLoadReport(const LoadReport& load, wire::LoadReport& message);

/// The work time that a load report carries besides the load; without samples if it has none.
WorkTimeReport DecodeWorkTime(const wire::LoadReport& load);
void EncodeWorkTime(const WorkTimeReport& report, wire::LoadReport& message);

}  // namespace masticpin
