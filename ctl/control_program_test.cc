#include "ctl/control_program.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <httplib.h>
#include <sys/wait.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

namespace masticpin {
namespace {

using testing::HasSubstr;

std::string ReadSource(const std::string& path) {
  std::ifstream file(MASTICPIN_SOURCE_DIR "/" + path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

class ControlProgramTest : public testing::Test {
 protected:
  ControlProgramTest() {
    std::string name = testing::TempDir() + "masticpinctl-XXXXXX";
    this->directory = mkdtemp(name.data());
  }

  ~ControlProgramTest() override {
    this->server.stop();
    if (this->server_thread.joinable()) {
      this->server_thread.join();
    }
    std::filesystem::remove_all(this->directory);
  }

  int Run(const std::vector<std::string>& arguments, bool json = false) {
    this->out.str("");
    this->err.str("");
    ControlProgram program({json, std::chrono::milliseconds(2000)}, this->out, this->err);
    return program.Run(arguments);
  }

  // Writes a copy of the Riga manifest in which `from` is replaced by `to`; returns its path.
  std::string WriteManifest(const std::string& name,
                            const std::string& from = "",
                            const std::string& to = "") {
    std::string text = ReadSource("deploy/riga/manifest.ini");
    text.replace(text.find(from), from.size(), to);
    const std::filesystem::path path = this->directory / name;
    std::ofstream(path, std::ios::binary) << text;
    return path;
  }

  // Starts the HTTP server; returns its address.
  std::string StartServer() {
    const int port = this->server.bind_to_any_port("127.0.0.1");
    this->server_thread = std::thread([this] { this->server.listen_after_bind(); });
    while (!this->server.is_running()) {
      std::this_thread::yield();
    }
    return "127.0.0.1:" + std::to_string(port);
  }

  std::filesystem::path directory;
  std::ostringstream out;
  std::ostringstream err;
  httplib::Server server;
  std::thread server_thread;
};

// Guards against an exit status that lets a script publish an invalid manifest.
TEST_F(ControlProgramTest, CheckReportsProblems) {
  EXPECT_EQ(this->Run({"check", this->WriteManifest("good.ini")}), kExitOk);
  EXPECT_THAT(this->out.str(), HasSubstr("valid; site riga, version 1, 4 services, 9 kinds"));
  const std::string bad = this->WriteManifest("bad.ini", "slots = 60", "slots = many");
  EXPECT_EQ(this->Run({"check", bad}), kExitProblem);
  EXPECT_THAT(this->err.str(), HasSubstr("bad.ini:16: [service almanac] slots: must be a whole"));
}

// Guards against reporting an unreadable file as valid or as empty.
TEST_F(ControlProgramTest, UnreadableFileIsAUsageError) {
  EXPECT_EQ(this->Run({"check", this->directory / "absent.ini"}), kExitUsage);
  EXPECT_EQ(this->Run({"check", this->directory}), kExitUsage);
  EXPECT_EQ(this->Run({"diff", this->WriteManifest("a.ini"), "/absent"}), kExitUsage);
}

// Guards against a missed change, and against accepting a new manifest that every node would
// reject.
TEST_F(ControlProgramTest, DiffListsChanges) {
  const std::string old_path = this->WriteManifest("old.ini");
  const std::string new_path = this->WriteManifest("new.ini", "importance = 1", "importance = 2");
  EXPECT_EQ(this->Run({"diff", old_path, old_path}), kExitOk);
  EXPECT_EQ(this->out.str(), "no difference\n");
  EXPECT_EQ(this->Run({"diff", old_path, new_path}), kExitProblem);
  EXPECT_THAT(this->out.str(), HasSubstr("looser  kind almanac/page  importance  1 -> 2\n"));
  EXPECT_THAT(this->err.str(), HasSubstr("version 1 is not higher than 1"));

  const std::string next = this->WriteManifest("next.ini", "version = 1", "version = 2");
  EXPECT_EQ(this->Run({"diff", old_path, next}, /*json=*/true), kExitOk);
  const auto changes = nlohmann::json::parse(this->out.str());
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0]["effect"], "neutral");
  EXPECT_EQ(changes[0]["after"], "2");
}

// Guards against a page docs/settings.md that differs from the settings that the node checks.
TEST_F(ControlProgramTest, SettingsPageIsCurrent) {
  EXPECT_EQ(this->Run({"settings"}), kExitOk);
  EXPECT_EQ(this->out.str(), ReadSource("docs/settings.md"));
}

// Guards against an unreachable node that hides the status of the others.
TEST_F(ControlProgramTest, StatusShowsAllNodes) {
  this->server.Get("/_masticpin/status", [](const httplib::Request&, httplib::Response& response) {
    response.set_content(R"({"state": "serving", "load": {"limit": 7}})", "application/json");
  });
  const std::string address = this->StartServer();
  // Port 1 on loopback refuses connections.
  EXPECT_EQ(this->Run({"status", "127.0.0.1:1", address}), kExitUsage);
  EXPECT_THAT(this->out.str(), HasSubstr("state    load.limit\n"));
  EXPECT_THAT(this->out.str(), HasSubstr(address + "  serving  7\n"));
  EXPECT_THAT(this->err.str(), HasSubstr("127.0.0.1:1: "));

  EXPECT_EQ(this->Run({"status", address}, /*json=*/true), kExitOk);
  const auto list = nlohmann::json::parse(this->out.str());
  EXPECT_EQ(list[0]["status"]["load"]["limit"], 7);
}

// Guards against treating an error page as a status.
TEST_F(ControlProgramTest, StatusThatIsNotJsonIsAProblem) {
  this->server.Get("/_masticpin/status", [](const httplib::Request&, httplib::Response& response) {
    response.set_content("<html>", "text/html");
  });
  EXPECT_EQ(this->Run({"status", this->StartServer()}), kExitProblem);
}

// Guards against reporting a drain as started although the node refused it.
TEST_F(ControlProgramTest, DrainReportsTheResponseOfTheNode) {
  int status = 202;
  this->server.Post("/_masticpin/drain", [&](const httplib::Request&, httplib::Response& response) {
    response.status = status;
  });
  const std::string address = this->StartServer();
  EXPECT_EQ(this->Run({"drain", address}), kExitOk);
  EXPECT_EQ(this->out.str(), address + ": draining\n");
  status = 403;
  EXPECT_EQ(this->Run({"drain", address}), kExitProblem);
  EXPECT_EQ(this->Run({"drain", "127.0.0.1:1"}), kExitUsage);
}

// Guards against explaining a request that is in no log, and against ignoring unreadable logs.
TEST_F(ControlProgramTest, ExplainReadsLogs) {
  const std::filesystem::path log = this->directory / "a.log";
  std::ofstream(log) << "1.5 side-1 event=request_failed id=a.b status=500 ms=3\n";
  EXPECT_EQ(this->Run({"explain", "a", log}), kExitOk);
  EXPECT_THAT(this->out.str(), HasSubstr("It began with the call a.b."));
  EXPECT_EQ(this->Run({"explain", "b", log}), kExitProblem);
  EXPECT_EQ(this->Run({"explain", "a", this->directory / "missing.log"}), kExitUsage);
}

// Guards against an invalid command line that exits with success.
TEST_F(ControlProgramTest, WrongUsage) {
  for (const std::vector<std::string>& arguments : {std::vector<std::string>{},
                                                    {"check"},
                                                    {"diff", "a"},
                                                    {"settings", "a"},
                                                    {"status"},
                                                    {"status", "localhost:1"},
                                                    {"drain"},
                                                    {"drain", "x"},
                                                    {"explain"},
                                                    {"explain", "id"},
                                                    {"launch"}}) {
    EXPECT_EQ(this->Run(arguments), kExitUsage);
    EXPECT_THAT(this->err.str(), HasSubstr("Usage: "));
  }
}

// Guards against the defaults of gflags, which exits with 1 for --help and for an invalid flag.
TEST_F(ControlProgramTest, FlagsSetTheExitStatus) {
  const auto run = [](const std::string& flags) {
    const int status = std::system((MASTICPINCTL " " + flags + " >/dev/null 2>&1").c_str());
    return WEXITSTATUS(status);
  };
  EXPECT_EQ(run("--help"), kExitOk);
  EXPECT_EQ(run("--version"), kExitOk);
  EXPECT_EQ(run("settings"), kExitOk);
  EXPECT_EQ(run("--colour settings"), kExitUsage);
  EXPECT_EQ(run("--timeout_ms=0 settings"), kExitUsage);
  EXPECT_EQ(run("--timeout_ms=x settings"), kExitUsage);
}

}  // namespace
}  // namespace masticpin
