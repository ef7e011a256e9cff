#include "net/http_server.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace masticpin {
namespace {

/// Runs a server on a free port for the duration of one test.
class HttpServerTest : public testing::Test {
 protected:
  void Start(const HttpServerOptions& options) {
    this->server = std::make_unique<HttpServer>(options);
    this->server->Get("/raw", [](const httplib::Request&, httplib::Response&) {
      const std::string raw = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf";
      HttpConnection::Current()->write(raw.data(), raw.size());
      HttpConnection::Current()->DropResponse(true);
    });
    this->server->Get("/(.*)", [](const httplib::Request& request, httplib::Response& response) {
      response.set_content(request.matches[1].str(), "text/plain");
    });
    this->server->Post("/(.*)", [](const httplib::Request& request, httplib::Response& response) {
      response.set_content(request.body, "text/plain");
    });
    this->port = this->server->Bind("127.0.0.1:0");
    ASSERT_GT(this->port, 0);
    this->thread = std::thread([this] { this->server->listen_after_bind(); });
    while (!this->server->is_running()) {
      std::this_thread::yield();
    }
  }

  void TearDown() override {
    if (this->thread.joinable()) {
      this->server->Stop();
      this->thread.join();
    }
  }

  std::unique_ptr<httplib::Client> MakeClient() const {
    auto client = std::make_unique<httplib::Client>("127.0.0.1", this->port);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    return client;
  }

  std::unique_ptr<HttpServer> server;
  std::thread thread;
  int port = 0;
};

// Guards against the default of cpp-httplib, which closes a keep-alive connection after five
// requests.
TEST_F(HttpServerTest, KeepsConnectionForManyRequests) {
  this->Start({});
  const auto client = this->MakeClient();
  for (int i = 0; i < 20; ++i) {
    const auto result = client->Post("/x", std::to_string(i), "text/plain");
    ASSERT_TRUE(result);
    EXPECT_EQ(result->body, std::to_string(i));
    const auto connection = result->headers.find("Connection");
    EXPECT_TRUE(connection == result->headers.end() || connection->second != "close");
  }
}

// Guards against a stack overflow: matching a long path recursed until the 256 KiB stack of the
// thread was exhausted.
TEST_F(HttpServerTest, RefusesLongPath) {
  this->Start({});
  const auto client = this->MakeClient();
  const auto refused = client->Get("/" + std::string(4000, 'a'));
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->status, 414);
  const auto accepted = client->Get("/" + std::string(255, 'a'));
  ASSERT_TRUE(accepted);
  EXPECT_EQ(accepted->status, 200);
}

TEST_F(HttpServerTest, RefusesLargeBody) {
  this->Start({.max_body_bytes = 100});
  const auto result = this->MakeClient()->Post("/x", std::string(101, 'a'), "text/plain");
  ASSERT_TRUE(result);
  EXPECT_EQ(result->status, 413);
}

// Guards against a connection above the limit that waits for a free thread: it must get a response
// and be closed.
TEST_F(HttpServerTest, ServesOneRequestInOverflow) {
  this->Start({.max_connections = 2, .overflow_connections = 1});
  std::vector<std::unique_ptr<httplib::Client>> clients;
  for (int i = 0; i < 2; ++i) {
    clients.push_back(this->MakeClient());
    ASSERT_TRUE(clients.back()->Get("/a"));
  }
  const auto result = this->MakeClient()->Get("/b");
  ASSERT_TRUE(result);
  EXPECT_EQ(result->body, "b");
  EXPECT_EQ(result->get_header_value("Connection"), "close");
}

// Guards against a Stop() that waits for the idle timeout of a keep-alive connection or leaves it
// open.
TEST_F(HttpServerTest, StopClosesIdleConnections) {
  this->Start({.idle_timeout = std::chrono::hours(1)});
  const auto client = this->MakeClient();
  ASSERT_TRUE(client->Get("/a"));
  this->server->Stop();
  this->thread.join();
  EXPECT_EQ(this->server->Connections(), 0U);
}

// Guards against a server that appends its response to a broken one that the handler has written to
// the connection itself, as the handlers of the stand-ins do.
TEST_F(HttpServerTest, DropResponseSuppressesServerResponse) {
  this->Start({});
  EXPECT_FALSE(this->MakeClient()->Get("/raw"));
}

}  // namespace
}  // namespace masticpin
