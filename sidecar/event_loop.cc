#include "sidecar/event_loop.h"

#include <spdlog/spdlog.h>

#include <exception>

namespace masticpin {

void RunEventLoop(boost::asio::io_context& loop) {
  while (true) {
    try {
      loop.run();
      return;
    } catch (const std::exception& error) {
      spdlog::error("event=unexpected_error reason=\"{}\"", error.what());
    }
  }
}

}  // namespace masticpin
