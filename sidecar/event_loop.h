#pragma once

#include <boost/asio/io_context.hpp>

namespace masticpin {

/// Runs the loop until it is stopped or has no more work. An exception of one handler is logged and
/// ends only that handler: the connection that it served is closed or times out, and all others
/// continue.
void RunEventLoop(boost::asio::io_context& loop);

}  // namespace masticpin
