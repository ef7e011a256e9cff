#pragma once

#include <atomic>
#include <list>
#include <memory>
#include <mutex>
#include <thread>

#include "review/standins/http_connection.h"

namespace review {

/// Accepts connections and serves each on a thread of its own.
class HttpService {
 public:
  HttpService() = default;
  HttpService(const HttpService&) = delete;
  HttpService& operator=(const HttpService&) = delete;
  virtual ~HttpService();

  /// Returns false if the address is in use.
  bool Start(const Address& address);

  /// Closes the listening socket and all connections, and waits for their threads. Must be called
  /// before the destructor of a derived class ends.
  void Stop();

 protected:
  /// Serves one connection until it ends.
  virtual void Serve(HttpConnection& connection) = 0;

  bool IsStopping() const { return this->stopping; }

 private:
  void Accept();

  std::atomic<bool> stopping = false;
  int listener = -1;
  std::thread acceptor;
  std::mutex mutex;
  std::list<std::unique_ptr<HttpConnection>> connections;
  std::list<std::thread> threads;
};

}  // namespace review
