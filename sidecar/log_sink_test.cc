#include "sidecar/log_sink.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

namespace masticpin {
namespace {

class LogSinkTest : public testing::Test {
 protected:
  LogSinkTest() {
    EXPECT_EQ(pipe(this->pipe_ends), 0);
    fcntl(this->pipe_ends[0], F_SETFL, O_NONBLOCK);
  }
  ~LogSinkTest() override {
    close(this->pipe_ends[0]);
    close(this->pipe_ends[1]);
  }

  std::string ReadAll() {
    std::string text;
    char buffer[65536];
    ssize_t count = 0;
    while ((count = read(this->pipe_ends[0], buffer, sizeof(buffer))) > 0) {
      text.append(buffer, static_cast<std::size_t>(count));
    }
    return text;
  }

  int pipe_ends[2];
};

// Guards against a node that blocks on the reader of its log. While the pipe is full, lines must be
// dropped; afterwards complete lines must be written, with the number of dropped ones.
TEST_F(LogSinkTest, FullPipeDropsLinesAndReportsCount) {
  auto sink = std::make_shared<LogSink>(this->pipe_ends[1], 1000000);
  spdlog::logger logger("test", sink);
  logger.set_pattern("%v");
  const std::string text(1000, 'x');
  for (int i = 0; i < 1000; ++i) {
    logger.info(text);
  }
  EXPECT_GT(sink->Dropped(), 0U);
  this->ReadAll();
  logger.info("first");
  logger.info("second");
  const std::string after = this->ReadAll();
  EXPECT_NE(after.find("event=log_lines_dropped count="), std::string::npos);
  EXPECT_NE(after.find("\nsecond\n"), std::string::npos) << after;
}

// Guards against logging that takes so much processor time that requests are delayed.
TEST_F(LogSinkTest, LogRateIsLimited) {
  auto sink = std::make_shared<LogSink>(this->pipe_ends[1], 10);
  spdlog::logger logger("test", sink);
  for (int i = 0; i < 100; ++i) {
    logger.info("line");
  }
  EXPECT_GE(sink->Dropped(), 80U);
}

}  // namespace
}  // namespace masticpin
