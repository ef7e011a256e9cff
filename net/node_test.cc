#include "net/node.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <future>
#include <nlohmann/json.hpp>

#include "masticpin/wire/http_headers.h"
#include "net/testing/test_site.h"

namespace masticpin {
namespace {

constexpr std::array<const char*, 3> kNames = {"ballot-1", "ballot-2", "dues-1"};

std::string ManifestText(std::uint64_t version, int slots) {
  return "[manifest]\nversion = " + std::to_string(version) +
         "\nsite = test\n"
         "[service ballot]\nslots = " +
         std::to_string(slots) +
         "\nconnections = 100\n"
         "[service dues]\nslots = 4\nconnections = 100\n"
         "[kind ballot/vote]\nimportance = 9\nidempotent = no\ndeadline_ms = 20000\nattempts = 6\n"
         "caller_tries = 3\nkey = required\ncalls = dues/standing\n"
         "[kind ballot/tally]\nimportance = 1\nidempotent = yes\ndeadline_ms = 20000\n"
         "attempts = 3\ncaller_tries = 3\nkey = required\n"
         "[kind dues/standing]\nimportance = 5\nidempotent = yes\ndeadline_ms = 20000\n"
         "attempts = 3\ncaller_tries = 3\nkey = required\n";
}

/// Three instances of two services, whose upstreams count their runs.
class NodeTest : public testing::Test {
 protected:
  void SetUp() override {
    this->site = std::make_unique<TestSite>(
        ManifestText(1, 8), [this](const httplib::Request& request, httplib::Response& response) {
          this->HandleUpstream(request, response);
        });
    this->site->Add("ballot-1", "ballot");
    this->site->Add("ballot-2", "ballot");
    this->site->Add("dues-1", "dues");
    this->site->Start();
  }

  void HandleUpstream(const httplib::Request& request, httplib::Response& response) {
    const std::string action = request.get_header_value(kActionHeader);
    {
      const std::lock_guard lock(this->mutex);
      ++this->runs[request.path + " " + action];
    }
    if (this->shed_at_deadline) {
      const int deadline_ms = std::stoi(request.get_header_value(kDeadlineHeader));
      std::this_thread::sleep_for(std::chrono::milliseconds(deadline_ms - 1));
      response.status = 503;
      response.set_header(kOutcomeHeader, "not-run");
      return;
    }
    if (this->cut_connection) {
      HttpConnection::Current()->DropResponse(/*close=*/true);
      return;
    }
    if (request.path == "/ballot/vote") {
      if (this->block_votes) {
        this->upstream_blocked = true;
        TestSite::WaitUntil([this] { return !this->block_votes; });
      }
      this->CallDues(request, response);
      return;
    }
    if (request.path == "/dues/standing" && this->block_inner_calls) {
      this->upstream_blocked = true;
      TestSite::WaitUntil([this] { return !this->block_inner_calls; });
    }
    response.set_content(request.path + " " + action, "text/plain");
  }

  void CallDues(const httplib::Request& request, httplib::Response& response) {
    httplib::Client client(TestSite::Address(),
                           this->site->HttpPort(request.get_header_value("X-Instance")));
    const httplib::Headers headers = {{kContextHeader, request.get_header_value(kContextHeader)}};
    const auto inner = client.Post("/dues/standing", headers, "", "text/plain");
    if (!inner || inner->status != 200) {
      response.status = 503;
      response.set_header(kOutcomeHeader, "not-run");
      return;
    }
    response.set_content("voted after " + inner->body, "text/plain");
  }

  int CountRuns(const std::string& path) {
    const std::lock_guard lock(this->mutex);
    int count = 0;
    for (const auto& [run, times] : this->runs) {
      if (run.rfind(path + " ", 0) == 0) {
        count += times;
      }
    }
    return count;
  }

  std::mutex mutex;
  std::map<std::string, int> runs;
  std::atomic<bool> cut_connection = false;
  std::atomic<bool> shed_at_deadline = false;
  std::atomic<bool> block_votes = false;
  std::atomic<bool> block_inner_calls = false;
  std::atomic<bool> upstream_blocked = false;
  /// Last member, so that it is destroyed first: executions that outlive their request, such as an
  /// attempt whose deadline has passed, still call HandleUpstream().
  std::unique_ptr<TestSite> site;
};

// Guards against a broken step on the path from caller through home and executor to the inner call,
// and against a retry at another node that runs the action again.
TEST_F(NodeTest, VoteRunsOnceAndIsReplayedAtAnotherNode) {
  const TestResponse refused = this->site->Send("ballot-1", "/ballot/vote", "");
  EXPECT_EQ(refused.status, 428);
  EXPECT_EQ(refused.outcome, "not-run");

  const TestResponse voted = this->site->Send("ballot-1", "/ballot/vote", refused.key);
  EXPECT_EQ(voted.outcome, "complete");
  EXPECT_EQ(voted.body, "voted after /dues/standing " + refused.key);
  for (const char* node : {"ballot-1", "ballot-2", "dues-1"}) {
    EXPECT_EQ(this->site->Send(node, "/ballot/vote", refused.key).body, voted.body) << node;
  }
  EXPECT_EQ(this->CountRuns("/ballot/vote"), 1);
}

// Guards against a node that refuses the executions that it sends to itself: the epoch in their
// keys was 0, so each of them was refused and retried at another instance.
TEST_F(NodeTest, NodeRunsExecutionsOnLocalUpstream) {
  const std::string key = this->site->NewKey("dues-1", "/dues/standing");
  EXPECT_EQ(this->site->Send("dues-1", "/dues/standing", key).outcome, "complete");
}

// Guards against a second run when copies of one request arrive at the same time.
TEST_F(NodeTest, ConcurrentCopiesRunOnceAndAllGetTheResponse) {
  const std::string key = this->site->NewKey("ballot-1", "/ballot/vote");
  this->block_votes = true;
  std::vector<std::future<TestResponse>> copies;
  for (const char* node : {"ballot-1", "ballot-2", "dues-1", "ballot-1"}) {
    copies.push_back(std::async(std::launch::async, [this, node, &key] {
      return this->site->Send(node, "/ballot/vote", key);
    }));
  }
  ASSERT_TRUE(TestSite::WaitUntil([this] { return this->upstream_blocked.load(); }));
  this->block_votes = false;
  for (std::future<TestResponse>& copy : copies) {
    EXPECT_EQ(copy.get().outcome, "complete");
  }
  EXPECT_EQ(this->CountRuns("/ballot/vote"), 1);
}

// Guards against running an action whose home has restarted and lost its records: the action may
// have run before.
TEST_F(NodeTest, KeyOfRestartedHomeIsUnknownAndNeverRuns) {
  const std::string key = this->site->NewKey("ballot-1", "/ballot/vote");
  this->site->Restart("ballot-1");
  ASSERT_TRUE(TestSite::WaitUntil(
      [this] { return this->site->Status("ballot-1", "state") == "\"serving\""; }));

  const TestResponse direct = this->site->Send("ballot-1", "/ballot/vote", key);
  EXPECT_EQ(direct.outcome, "unknown");
  EXPECT_EQ(direct.error, "outcome_lost");
  EXPECT_EQ(this->site->Send("ballot-2", "/ballot/vote", key).outcome, "unknown");
  EXPECT_EQ(this->CountRuns("/ballot/vote"), 0);
}

// Guards against a retry of a vote that may have run, and against reporting it as not run.
TEST_F(NodeTest, CutUpstreamConnectionIsUnknownForAVote) {
  const std::string key = this->site->NewKey("ballot-1", "/ballot/vote");
  this->cut_connection = true;
  const TestResponse response = this->site->Send("ballot-1", "/ballot/vote", key);
  EXPECT_EQ(response.outcome, "unknown");
  EXPECT_EQ(response.error, "upstream_broken");
  this->cut_connection = false;
  EXPECT_EQ(this->site->Send("ballot-1", "/ballot/vote", key).outcome, "unknown");
  EXPECT_EQ(this->CountRuns("/ballot/vote"), 1);
}

// Guards against giving up on an idempotent request that another instance could still serve.
TEST_F(NodeTest, CutUpstreamConnectionIsRetriedForATally) {
  const std::string key = this->site->NewKey("ballot-1", "/ballot/tally");
  this->cut_connection = true;
  const TestResponse response = this->site->Send("ballot-1", "/ballot/tally", key);
  EXPECT_EQ(response.outcome, "unknown");
  EXPECT_EQ(response.error, "upstream_broken");
  EXPECT_EQ(this->CountRuns("/ballot/tally"), 2);
}

// Guards against lowering the limit when an upstream gives up just before the deadline: in a
// surge the limit stayed at 38 of 60 slots although the upstream was not overloaded.
TEST_F(NodeTest, GivingUpAtTheDeadlineDoesNotLowerTheLimit) {
  const std::string limit = this->site->Status("ballot-1", "load/limit");
  this->shed_at_deadline = true;
  const std::string key = this->site->NewKey("ballot-1", "/ballot/tally");
  httplib::Client client(TestSite::Address(), this->site->HttpPort("ballot-1"));
  const httplib::Headers headers = {{kIdempotencyKeyHeader, key}, {kDeadlineHeader, "300"}};
  ASSERT_TRUE(client.Post("/ballot/tally", headers, "", "text/plain"));
  EXPECT_EQ(this->site->Status("ballot-1", "load/limit"), limit);
  EXPECT_EQ(this->site->Status("ballot-2", "load/limit"), limit);
}

// Guards against a planned stop that interrupts a request in progress, and against new requests on
// a leaving node.
TEST_F(NodeTest, DrainFinishesWorkInProgressAndRefusesNewWork) {
  const std::string key = this->site->NewKey("ballot-1", "/ballot/vote");
  this->block_votes = true;
  std::future<TestResponse> vote = std::async(
      std::launch::async, [&] { return this->site->Send("ballot-1", "/ballot/vote", key); });
  ASSERT_TRUE(TestSite::WaitUntil([this] { return this->upstream_blocked.load(); }));
  std::future<void> drained =
      std::async(std::launch::async, [this] { this->site->Drain("ballot-1"); });

  ASSERT_TRUE(TestSite::WaitUntil(
      [this] { return this->site->Send("ballot-1", "/ballot/vote", "").error == "draining"; }));
  ASSERT_TRUE(TestSite::WaitUntil([this] {
    const auto members = nlohmann::json::parse(this->site->Status("ballot-2", "members"));
    return std::any_of(members.begin(), members.end(), [](const auto& member) {
      return member["name"] == "ballot-1" && member["state"] == "leaving";
    });
  }));
  this->block_votes = false;
  EXPECT_EQ(vote.get().outcome, "complete");
  drained.get();
}

// Guards against a configuration that reverts when the service returns an older value.
TEST_F(NodeTest, NewVersionTakesEffectAndNeverReverts) {
  const auto all_have_version = [this](const char* version) {
    return std::all_of(kNames.begin(), kNames.end(), [&](const char* name) {
      return this->site->Status(name, "configuration/version") == version;
    });
  };
  this->site->Publish(5, ManifestText(5, 3));
  ASSERT_TRUE(TestSite::WaitUntil([&] { return all_have_version("5"); }));
  this->site->Publish(4, ManifestText(4, 8));
  this->site->Restart("ballot-2");
  ASSERT_TRUE(TestSite::WaitUntil(
      [this] { return this->site->Status("ballot-2", "state") == "\"serving\""; }));
  EXPECT_TRUE(all_have_version("5"));
}

// Guards against an inner call that uses the kind of a manifest that was replaced during the call;
// AddressSanitizer reports this as a use after free.
TEST_F(NodeTest, ManifestIsReplacedDuringAnInnerCall) {
  // Use a home that is not the executor: nothing else on that node keeps the old manifest alive.
  const std::string key = this->site->NewKey("dues-1", "/ballot/vote");
  this->block_inner_calls = true;
  std::future<TestResponse> vote = std::async(
      std::launch::async, [&] { return this->site->Send("dues-1", "/ballot/vote", key); });
  ASSERT_TRUE(TestSite::WaitUntil([this] { return this->upstream_blocked.load(); }));
  this->site->Publish(7, ManifestText(7, 8));
  ASSERT_TRUE(TestSite::WaitUntil([this] {
    return std::all_of(kNames.begin(), kNames.end(), [this](const char* name) {
      return this->site->Status(name, "configuration/version") == "7";
    });
  }));
  this->block_inner_calls = false;
  EXPECT_EQ(vote.get().outcome, "complete");
}

// Guards against an invalid manifest that takes effect or stops the node.
TEST_F(NodeTest, InvalidManifestKeepsTheCurrentOne) {
  this->site->Publish(6, "[manifest]\nversion = 6\nsite = test\nnonsense = 1\n");
  const std::string key = this->site->NewKey("ballot-1", "/ballot/vote");
  EXPECT_EQ(this->site->Send("ballot-1", "/ballot/vote", key).outcome, "complete");
  EXPECT_EQ(this->site->Status("ballot-1", "configuration/version"), "1");
}

// Guards against hops that cannot be found by the action: one trace must link all of them.
TEST_F(NodeTest, TraceHasASpanForEachHop) {
  const std::string key = this->site->NewKey("ballot-1", "/ballot/vote");
  ASSERT_EQ(this->site->Send("ballot-1", "/ballot/vote", key).outcome, "complete");
  std::vector<std::string> traces;
  for (const char* name : kNames) {
    httplib::Client client(TestSite::Address(), this->site->HttpPort(name));
    const auto result = client.Get("/_masticpin/traces?filter=" + key);
    ASSERT_TRUE(result);
    const auto spans =
        nlohmann::json::parse(result->body)["resourceSpans"][0]["scopeSpans"][0]["spans"];
    for (const auto& span : spans) {
      traces.push_back(span["traceId"]);
    }
  }
  // Ingress and execution of the vote, and the inner call and its execution.
  EXPECT_EQ(traces.size(), 4U);
  EXPECT_EQ(std::count(traces.begin(), traces.end(), traces.front()), 4);
}

}  // namespace
}  // namespace masticpin
