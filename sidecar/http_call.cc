#include "sidecar/http_call.h"

namespace masticpin {

void AppendEndOfHead(std::string_view method, std::size_t body_bytes, std::string& message) {
  if (body_bytes > 0 || method == "POST" || method == "PUT" || method == "PATCH") {
    message.append("Content-Length: ").append(std::to_string(body_bytes)).append("\r\n");
  }
  message.append("\r\n");
}

}  // namespace masticpin
