#pragma once

#include <httplib.h>

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "masticpin/base/time.h"

namespace masticpin::standins {

/// Pool of persistent HTTP connections by address. A connection carries one request at a time.
/// Thread-safe.
class ClientPool {
 public:
  /// Result of one request.
  struct SendResult {
    /// False if no complete response arrived.
    bool complete = false;
    /// True if the connection could not be established, so the request was certainly not sent.
    bool not_sent = false;
    httplib::Response response;
  };

  /// Sends `request` to `address` ("ip:port"). `timeout` applies separately to connecting, to each
  /// read and to each write. The connection is closed if no complete response arrives.
  SendResult Send(const std::string& address, const httplib::Request& request, Duration timeout);

 private:
  using Clients = std::vector<std::unique_ptr<httplib::Client>>;

  std::unique_ptr<httplib::Client> Take(const std::string& address);
  void Return(const std::string& address, std::unique_ptr<httplib::Client> client);

  std::mutex mutex;
  std::map<std::string, Clients> idle;
};

}  // namespace masticpin::standins
