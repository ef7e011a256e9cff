#pragma once

#include <gtest/gtest.h>

#include <string>

#include "sidecar/testing/raw_caller.h"
#include "sidecar/testing/test_fleet.h"

namespace masticpin {

using Connection = ScriptedServer::Connection;

/// A handler that immediately responds to every request with 200.
inline void RespondToAll(Connection& connection, const std::string& request) {
  connection.Send(TestFleet::MakeResponse(request));
}

/// Returns a handler that responds with 200 to requests which expect the instance `name`, and to
/// others with 421 and its name.
inline ScriptedServer::Handler RespondIfExpected(const std::string& name) {
  return [name](Connection& connection, const std::string& request) {
    if (FieldOf(request, "Test-Expected") != name) {
      connection.Send(TestFleet::MakeResponse(request, "", "Test-Instance: " + name + "\r\n",
                                              "421 Misdirected"));
      return;
    }
    connection.Send(TestFleet::MakeResponse(request));
  };
}

/// Fixture for tests of complete nodes. Callers send their requests to the first machine.
class SidecarNodeFixture : public testing::Test {
 protected:
  /// Sends one request to the first machine and returns the response.
  std::string SendRequest(const std::string& request, Duration limit = std::chrono::seconds(5)) {
    RawCaller caller(this->fleet.Loop(), this->fleet.RequestAddress(0));
    caller.Send(request);
    this->fleet.RunUntil([&] { return caller.ResponseCount() > 0 || caller.IsClosedByPeer(); },
                         limit);
    return caller.Received();
  }

  static int StatusOf(const std::string& response) {
    return response.size() < 12 ? 0 : std::stoi(response.substr(9, 3));
  }

  std::size_t RequestCount(std::size_t machine) {
    return this->fleet.At(machine).upstream->Requests().size();
  }

  TestFleet fleet;
};

}  // namespace masticpin
