#include "sidecar/log_sink.h"

#include <fcntl.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <memory>

namespace masticpin {

LogSink::LogSink(int descriptor, std::size_t lines_per_second)
    : descriptor(descriptor), lines_per_second(lines_per_second) {
  const int flags = fcntl(descriptor, F_GETFL);
  if (flags >= 0) {
    fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
  }
}

void LogSink::sink_it_(const spdlog::details::log_msg& message) {
  if (!this->TryConsumeLineQuota()) {
    ++this->dropped;
    return;
  }
  if (this->dropped > this->reported_dropped) {
    const std::string note =
        "event=log_lines_dropped count=" + std::to_string(this->dropped - this->reported_dropped) +
        "\n";
    if (!this->WriteLine(note.data(), note.size())) {
      ++this->dropped;
      return;
    }
    this->reported_dropped = this->dropped;
  }
  spdlog::memory_buf_t line;
  this->formatter_->format(message, line);
  if (!this->WriteLine(line.data(), line.size())) {
    ++this->dropped;
  }
}

bool LogSink::TryConsumeLineQuota() {
  const auto now = std::chrono::steady_clock::now();
  if (now - this->second_start >= std::chrono::seconds(1)) {
    this->second_start = now;
    this->lines_in_second = 0;
  }
  return this->lines_in_second++ < this->lines_per_second;
}

bool LogSink::WriteLine(const char* data, std::size_t size) {
  if (!this->partial_line.empty()) {
    const ssize_t written =
        write(this->descriptor, this->partial_line.data(), this->partial_line.size());
    if (written <= 0) {
      return false;
    }
    this->partial_line.erase(0, static_cast<std::size_t>(written));
    if (!this->partial_line.empty()) {
      return false;
    }
  }
  const ssize_t written = write(this->descriptor, data, size);
  if (written <= 0) {
    return false;
  }
  this->partial_line.assign(data + written, size - static_cast<std::size_t>(written));
  return true;
}

void InstallLogger(const SidecarSettings& settings) {
  auto logger = std::make_shared<spdlog::logger>(
      "masticpin", std::make_shared<LogSink>(STDOUT_FILENO, settings.log_lines_per_second));
  logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l %v", spdlog::pattern_time_type::utc);
  logger->set_level(spdlog::level::from_str(settings.log_level));
  spdlog::set_default_logger(std::move(logger));
}

}  // namespace masticpin
