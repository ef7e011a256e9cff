#pragma once

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "masticpin/settings/sidecar_settings.h"

namespace masticpin {

/// Writes log lines to a file descriptor, without blocking when its reader is slow and with a
/// limited number of lines per second. Dropped lines are counted, and the count is written with the
/// next line that is accepted. The limit also applies to warnings and errors, because a fault may
/// cause one for each request.
class LogSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  /// Sets `descriptor` to non-blocking mode.
  LogSink(int descriptor, std::size_t lines_per_second);

  /// Number of lines that were dropped.
  std::uint64_t Dropped() const { return this->dropped; }

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override;
  void flush_() override {}

 private:
  /// Counts one line against the limit of the current second; false if the limit is reached.
  bool TryConsumeLineQuota();
  /// Returns false if the line cannot be written without blocking.
  bool WriteLine(const char* data, std::size_t size);

  const int descriptor;
  const std::size_t lines_per_second;
  std::chrono::steady_clock::time_point second_start{};
  std::size_t lines_in_second = 0;
  std::uint64_t dropped = 0;
  std::uint64_t reported_dropped = 0;
  /// Rest of a line that was only partly written.
  std::string partial_line;
};

/// Installs a LogSink to standard output as the process's default logger: one line of key=value
/// pairs per event.
void InstallLogger(const SidecarSettings& settings);

}  // namespace masticpin
