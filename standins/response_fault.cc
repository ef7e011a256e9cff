#include "standins/response_fault.h"

#include <spdlog/fmt/fmt.h>

#include <thread>

namespace masticpin::standins {

std::optional<FaultMode> ParseFaultMode(std::string_view name) {
  if (name == "none") {
    return FaultMode::kNone;
  }
  if (name == "cut") {
    return FaultMode::kCut;
  }
  if (name == "truncate") {
    return FaultMode::kTruncate;
  }
  if (name == "late") {
    return FaultMode::kLate;
  }
  if (name == "duplicate") {
    return FaultMode::kDuplicate;
  }
  return std::nullopt;
}

std::string MakeFaultyResponse(FaultMode mode, const std::string& body) {
  const std::string complete_response = fmt::format(
      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{}",
      body.size(), body);
  switch (mode) {
    case FaultMode::kCut:
      return complete_response.substr(0, complete_response.size() / 2);
    case FaultMode::kTruncate:
      return fmt::format(
          "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
          "Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n",
          body.size() / 2, body.substr(0, body.size() / 2));
    case FaultMode::kDuplicate:
      return complete_response + complete_response;
    case FaultMode::kNone:
    case FaultMode::kLate:
      break;
  }
  return complete_response;
}

bool SendWithFault(const ResponseFault& fault,
                   const std::string& body,
                   HttpConnection& connection) {
  if (fault.mode == FaultMode::kNone) {
    return false;
  }
  if (fault.mode == FaultMode::kLate) {
    std::this_thread::sleep_for(fault.delay);
    return false;
  }
  const std::string bytes = MakeFaultyResponse(fault.mode, body);
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = connection.write(bytes.data() + sent, bytes.size() - sent);
    if (count <= 0) {
      break;
    }
    sent += static_cast<std::size_t>(count);
  }
  connection.DropResponse(fault.mode != FaultMode::kDuplicate);
  return true;
}

}  // namespace masticpin::standins
