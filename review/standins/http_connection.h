#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace review {

using Milliseconds = std::chrono::milliseconds;

struct Address {
  std::string ip;
  std::uint16_t port = 0;

  std::string ToString() const { return this->ip + ":" + std::to_string(this->port); }
};

/// A request or a response with a body of known length.
struct HttpMessage {
  std::string start_line;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;

  /// Value of the field, or an empty string. Names are compared without regard to case.
  std::string Field(std::string_view name) const;
  /// Status of a response; 0 if there is none.
  int Status() const;
};

enum class ReadResult {
  kMessage,
  /// The connection ended before the first byte of a message.
  kClosed,
  /// The connection ended within a message.
  kCutShort,
  kTimeout,
};

/// One blocking HTTP/1.1 connection.
class HttpConnection {
 public:
  explicit HttpConnection(int descriptor);
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;
  ~HttpConnection();

  /// Returns nullptr if the connection cannot be opened in time. `local_ip` is the address to
  /// connect from; empty for any.
  static std::unique_ptr<HttpConnection> Connect(const Address& to,
                                                 Milliseconds timeout,
                                                 const std::string& local_ip = "");

  bool Write(std::string_view bytes);
  ReadResult Read(HttpMessage& message, Milliseconds timeout);

  /// Whether the other side has closed the connection.
  bool IsClosedByPeer() const;

  /// Ends the connection in both directions; a pending Read() returns.
  void Shutdown();

 private:
  /// Waits for more bytes. Returns false at the end of the connection or of the time.
  bool Fill(std::chrono::steady_clock::time_point until, bool& timed_out);

  const int descriptor;
  std::string buffer;
};

/// Opens a listening socket. Returns -1 if the address is in use.
int Listen(const Address& address);

}  // namespace review
