#include "review/standins/server.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <thread>
#include <utility>

namespace review {
namespace {

/// Idle connections are closed after this time, as on the sites (`idle_close_ms`).
constexpr Milliseconds kIdleTimeout(10000);
constexpr Milliseconds kReadTimeout(200);

long UnixMilliseconds() {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

Server::Server(Record& record, Store& store, std::string id, std::string service, std::string zone)
    : record(record),
      store(store),
      id(std::move(id)),
      service(std::move(service)),
      zone(std::move(zone)),
      born(UnixMilliseconds()) {}

bool Server::StartAt(const Address& own_address) {
  this->address = own_address;
  return this->Start(own_address);
}

void Server::Register(const std::string& state) {
  this->store.Put("servers/" + this->id,
                  "{\"service\":\"" + this->service + "\",\"address\":\"" +
                      this->address.ToString() + "\",\"zone\":\"" + this->zone +
                      "\",\"version\":\"v1\",\"slots\":64,\"state\":\"" + state +
                      "\",\"coldRemainingMs\":0,\"seq\":1,\"born\":" + std::to_string(this->born) +
                      "}");
  this->record.Line("server " + this->id + " has state " + state);
}

void Server::Deregister() {
  this->store.Remove("servers/" + this->id);
  this->record.Line("entry of server " + this->id + " is removed");
}

std::map<std::string, Server::Run> Server::Runs() {
  const std::lock_guard lock(this->runs_mutex);
  return this->runs;
}

void Server::Serve(HttpConnection& connection) {
  HttpMessage request;
  Milliseconds idle(0);
  while (!this->IsStopping() && idle < kIdleTimeout) {
    const ReadResult result = connection.Read(request, kReadTimeout);
    if (result == ReadResult::kTimeout) {
      idle += kReadTimeout;
      continue;
    }
    idle = Milliseconds(0);
    if (result != ReadResult::kMessage) {
      return;
    }
    const std::string request_id = request.Field("X-Attempt-Id");
    const std::size_t space = request.start_line.find(' ');
    const std::string target =
        request.start_line.substr(space + 1, request.start_line.find(' ', space + 1) - space - 1);
    if (target == "/healthz") {
      connection.Write("HTTP/1.1 200 OK\r\nX-Instance-Id: " + this->id +
                       "\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    if (request_id.empty()) {
      connection.Write(
          "HTTP/1.1 400 Bad Request\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    const std::string expected = request.Field("X-Expect-Instance");
    if (!expected.empty() && expected != this->id) {
      this->record.Line("server " + this->id + " answers 421 to " + request_id + " for " +
                        expected);
      connection.Write("HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: " + request_id +
                       "\r\nX-Instance-Id: " + this->id + "\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    this->RunRequest(connection, request_id, target);
  }
}

void Server::RunRequest(HttpConnection& connection,
                        const std::string& request_id,
                        const std::string& target) {
  const std::size_t last = target.rfind("/w");
  const Milliseconds work(last == std::string::npos ? 1 : std::atoi(target.c_str() + last + 2));
  {
    const std::lock_guard lock(this->runs_mutex);
    this->runs[request_id] = Run{this->record.Now(), -1};
  }
  this->record.Line("server " + this->id + " begins " + request_id + " " + target);
  const auto done = std::chrono::steady_clock::now() + work;
  while (std::chrono::steady_clock::now() < done) {
    if (connection.IsClosedByPeer() || this->IsStopping()) {
      this->record.Line("server " + this->id + " drops " + request_id +
                        ", as its connection has ended");
      const std::lock_guard lock(this->runs_mutex);
      this->runs[request_id].ended_at = -2;
      return;
    }
    std::this_thread::sleep_for(std::min<std::chrono::steady_clock::duration>(
        Milliseconds(10), done - std::chrono::steady_clock::now()));
  }
  const std::string body = "body of " + request_id;
  const bool sent =
      connection.Write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request_id +
                       "\r\nX-Server-Seal: seal-" + request_id + "\r\nKeep-Alive: timeout=10" +
                       "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  this->record.Line("server " + this->id + " has run " + request_id +
                    (sent ? " and answered 200" : " and could not answer"));
  const std::lock_guard lock(this->runs_mutex);
  this->runs[request_id].ended_at = this->record.Now();
}

}  // namespace review
