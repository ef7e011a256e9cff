#pragma once

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "masticpin/settings/sidecar_settings.h"

namespace masticpin {

/// Writes log lines to a file descriptor without ever waiting for its reader, and with a bounded
/// number of lines a second. Lines that do not fit are counted, and the count is written with the
/// next line that does. Warnings and errors take part in the bound like all others: a fault may
/// cause one for each request.
class LogSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  /// Sets `descriptor` to non-blocking mode.
  LogSink(int descriptor, std::size_t lines_per_second);

  /// Lines that were not written.
  std::uint64_t Dropped() const { return this->dropped; }

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override;
  void flush_() override {}

 private:
  /// Takes one line of the present second; false if it has none left.
  bool TryConsumeLineQuota();
  /// Returns false if the descriptor takes no bytes now.
  bool WriteLine(const char* data, std::size_t size);

  const int descriptor;
  const std::size_t lines_per_second;
  std::chrono::steady_clock::time_point second_start{};
  std::size_t lines_in_second = 0;
  std::uint64_t dropped = 0;
  std::uint64_t reported_dropped = 0;
  /// Rest of a line of which only a part was written.
  std::string partial_line;
};

/// Makes a LogSink to standard output the log of the process: one line of key=value pairs an event.
void InstallLogger(const SidecarSettings& settings);

}  // namespace masticpin
