#include "sidecar/event_loop.h"

#include <gtest/gtest.h>

#include <boost/asio/post.hpp>
#include <new>
#include <stdexcept>

namespace masticpin {
namespace {

// Guards against an unexpected error in the handling of one message that ends the process, and with
// it all other requests.
TEST(EventLoopTest, ExceptionOfOneHandlerDoesNotEndTheLoop) {
  boost::asio::io_context loop(1);
  int handled = 0;
  boost::asio::post(loop, [] { throw std::length_error("test"); });
  boost::asio::post(loop, [&] { ++handled; });
  boost::asio::post(loop, [] { throw std::bad_alloc(); });
  boost::asio::post(loop, [&] { ++handled; });
  RunEventLoop(loop);
  EXPECT_EQ(handled, 2);
}

}  // namespace
}  // namespace masticpin
