#include <gtest/gtest.h>

#include <map>

#include "sidecar/testing/sidecar_node_fixture.h"

namespace masticpin {
namespace {

using std::chrono::milliseconds;

/// When a faulty server writes its refusal of the first request once more.
enum class RepeatedAt : std::uint8_t {
  kAtOnce,
  /// While the connection is idle.
  kLater,
  /// When the next request has arrived, before its response.
  kBeforeNextResponse,
};

struct RefusalCase {
  const char* name;
  const char* status;
  const char* fields;
  /// Whether the copy has the id of the request that it refuses, or none.
  bool has_id;
  RepeatedAt repeated_at;
};

class RepeatedRefusalTest : public SidecarNodeFixture,
                            public testing::WithParamInterface<RefusalCase> {};

// Guards against a second copy of a refusal that is taken for the response to the next request on
// the connection: its caller would be told that it did not run, and would send it again.
TEST_P(RepeatedRefusalTest, DoesNotRefuseTheNextRequest) {
  const RefusalCase& test_case = GetParam();
  std::map<std::string, int> arrivals;
  const auto refusal = [&](const std::string& request, bool has_id) {
    const std::string id = has_id ? "Test-Id: " + FieldOf(request, "Test-Id") + "\r\n" : "";
    return "HTTP/1.1 " + std::string(test_case.status) + "\r\n" + id + test_case.fields +
           "Content-Length: 0\r\n\r\n";
  };
  std::string copy;
  this->fleet.AddMachine("page", [&](Connection& connection, const std::string& request) {
    const std::string id = FieldOf(request, "Test-Id");
    if (id == "first" && ++arrivals[id] == 1) {
      copy = refusal(request, test_case.has_id);
      connection.Send(refusal(request, true));
      if (test_case.repeated_at == RepeatedAt::kAtOnce) {
        connection.Send(copy);
      }
      return;
    }
    if (id != "first") {
      ++arrivals[id];
      if (test_case.repeated_at == RepeatedAt::kBeforeNextResponse) {
        connection.Send(copy);
      }
    }
    connection.Send(TestFleet::MakeResponse(request));
  });
  this->fleet.AddRoute("w", "page", false);
  this->fleet.Start();
  this->SendRequest(TestFleet::MakeRequest("first", "w", "POST", "", "x"));
  if (test_case.repeated_at == RepeatedAt::kLater) {
    for (const auto& connection : this->fleet.At(0).upstream->Connections()) {
      connection->Send(copy);
    }
  }
  for (int i = 0; i < 3; ++i) {
    const std::string id = "next-" + std::to_string(i);
    const int status =
        StatusOf(this->SendRequest(TestFleet::MakeRequest(id, "w", "POST", "", "x")));
    EXPECT_TRUE(status == 200 || status == 502) << id << ": " << status;
    EXPECT_LE(arrivals[id], 1) << id;
    if (status == 200) {
      EXPECT_EQ(arrivals[id], 1) << id;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
    Refusals,
    RepeatedRefusalTest,
    testing::Values(RefusalCase{"ShedAtOnce", "503 Full", "Test-Not-Executed: 1\r\n", true,
                                RepeatedAt::kAtOnce},
                    RefusalCase{"ShedLater", "503 Full", "Test-Not-Executed: 1\r\n", true,
                                RepeatedAt::kLater},
                    RefusalCase{"ShedBeforeNextResponse", "503 Full", "Test-Not-Executed: 1\r\n",
                                true, RepeatedAt::kBeforeNextResponse},
                    RefusalCase{"ShedWithoutIdAtOnce", "503 Full", "Test-Not-Executed: 1\r\n",
                                false, RepeatedAt::kAtOnce},
                    RefusalCase{"ShedWithoutIdLater", "503 Full", "Test-Not-Executed: 1\r\n", false,
                                RepeatedAt::kLater},
                    RefusalCase{"ShedWithoutIdBeforeNextResponse", "503 Full",
                                "Test-Not-Executed: 1\r\n", false, RepeatedAt::kBeforeNextResponse},
                    RefusalCase{"LimitedBeforeNextResponse", "429 Too Many Requests",
                                "Test-Not-Executed: 1\r\n", true, RepeatedAt::kBeforeNextResponse},
                    RefusalCase{"MisdirectedAtOnce", "421 Misdirected", "Test-Instance: i-0\r\n",
                                true, RepeatedAt::kAtOnce},
                    RefusalCase{"MisdirectedLater", "421 Misdirected", "Test-Instance: i-0\r\n",
                                true, RepeatedAt::kLater},
                    RefusalCase{"MisdirectedBeforeNextResponse", "421 Misdirected",
                                "Test-Instance: i-0\r\n", true, RepeatedAt::kBeforeNextResponse},
                    RefusalCase{"MisdirectedWithoutIdBeforeNextResponse", "421 Misdirected",
                                "Test-Instance: i-0\r\n", false, RepeatedAt::kBeforeNextResponse}),
    [](const testing::TestParamInfo<RefusalCase>& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace masticpin
