#pragma once

#include <httplib.h>

#include <array>
#include <cstddef>
#include <string>

#include "masticpin/base/time.h"

namespace masticpin {

/// One connection accepted by HttpServer, for use on the thread that serves it.
class HttpConnection : public httplib::Stream {
 public:
  /// Does not own `socket_fd`. Reads and writes fail after `io_timeout` without progress.
  HttpConnection(int socket_fd, Duration io_timeout);

  /// The connection served by the calling thread, or nullptr.
  static HttpConnection* Current();

  /// Returns true if the caller has closed or reset the connection. Does not block.
  bool IsClosedByPeer() const { return this->WaitForClose(Duration::zero()); }

  /// Waits for `time`, or until the caller closes or resets the connection. Returns true in the
  /// latter case.
  bool WaitForClose(Duration time) const;

  /// Discards everything that is written until the next request; for handlers that have written the
  /// response themselves. If `close` is set, the connection closes without serving another request.
  void DropResponse(bool close);

  // httplib::Stream:
  // NOLINTBEGIN(readability-identifier-naming)
  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char* data, std::size_t size) override;
  ssize_t write(const char* data, std::size_t size) override;
  void get_remote_ip_and_port(std::string& ip, int& port) const override;
  void get_local_ip_and_port(std::string& ip, int& port) const override;
  int socket() const override { return this->socket_fd; }
  // NOLINTEND(readability-identifier-naming)

 private:
  friend class HttpServer;

  /// Waits until a request arrives. Returns false after `timeout` or if a signal interrupts the
  /// wait.
  bool WaitForData(Duration timeout) const;

  const int socket_fd;
  const Duration io_timeout;
  // Bytes that were received but not read yet; kept between requests.
  std::array<char, 4096> buffer;
  std::size_t buffer_begin = 0;
  std::size_t buffer_end = 0;
  bool drop_response = false;
  bool close_after_response = false;
};

}  // namespace masticpin
