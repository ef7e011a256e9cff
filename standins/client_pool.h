#pragma once

#include <httplib.h>

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "masticpin/base/time.h"

namespace masticpin::standins {

/// Kept HTTP connections by address. A connection carries one request at a time.
class ClientPool {
 public:
  /// Result of one request.
  struct SendResult {
    /// False when no complete response arrived.
    bool complete = false;
    /// True when the connection could not be made, so the request certainly was not sent.
    bool not_sent = false;
    httplib::Response response;
  };

  /// Sends `request` to "ip:port" and waits up to `timeout` for each part of the response. A
  /// connection without a complete response is closed.
  SendResult Send(const std::string& address, const httplib::Request& request, Duration timeout);

 private:
  using Clients = std::vector<std::unique_ptr<httplib::Client>>;

  std::unique_ptr<httplib::Client> Take(const std::string& address);
  void Return(const std::string& address, std::unique_ptr<httplib::Client> client);

  std::mutex mutex;
  std::map<std::string, Clients> idle;
};

}  // namespace masticpin::standins
