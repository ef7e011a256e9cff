#include "sidecar/http_call.h"

namespace masticpin {

void AppendBody(std::string_view method, std::string_view body, std::string& message) {
  if (!body.empty() || method == "POST" || method == "PUT" || method == "PATCH") {
    message.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
  }
  message.append("\r\n").append(body);
}

}  // namespace masticpin
