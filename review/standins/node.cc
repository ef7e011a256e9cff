#include "review/standins/node.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <map>
#include <sstream>
#include <thread>
#include <utility>

namespace review {
namespace {

constexpr const char* kProgram = "target/masticpin-sidecar";
constexpr const char* kTemplate = "deploy/platform/sidecar.ini.template";

}  // namespace

Node::Node(Record& record, NodeSettings settings, std::string folder)
    : record(record), settings(std::move(settings)), folder(std::move(folder)) {}

Node::~Node() {
  if (this->pid > 0) {
    kill(this->pid, SIGKILL);
    waitpid(this->pid, nullptr, 0);
  }
}

std::string Node::FillTemplate() const {
  const NodeSettings& own = this->settings;
  const std::map<std::string, std::string> values = {
      {"nodeName", own.name},
      {"service", own.service},
      {"zone", own.zone},
      {"ip", own.ip},
      {"listen.outbound", Address{own.ip, own.outbound}.ToString()},
      {"listen.inbound", Address{own.ip, own.inbound}.ToString()},
      {"listen.ready", Address{own.ip, own.ready}.ToString()},
      {"internalPortRange.0", std::to_string(own.metrics)},
      {"appAddr", Address{own.ip, own.app}.ToString()},
      {"platform.address", own.store.ToString()},
      {"limits.memoryMb", std::to_string(own.memory_mb)},
      {"bounds.graceS", std::to_string(own.grace_s)},
      {"bounds.drainMs", std::to_string(own.drain_ms)},
      {"bounds.retryBudgetRatio", "0.2"},
      {"bounds.budgetSlack", "48"},
      {"bounds.budgetWindowS", "10"},
  };
  std::ostringstream stream;
  stream << std::ifstream(kTemplate).rdbuf();
  std::string text = stream.str();
  for (const auto& [name, value] : values) {
    const std::string placeholder = "{{" + name + "}}";
    for (std::size_t at = text.find(placeholder); at != std::string::npos;
         at = text.find(placeholder, at)) {
      text.replace(at, placeholder.size(), value);
    }
  }
  return text;
}

bool Node::Start() {
  const std::string path = this->folder + "/" + this->settings.name + ".ini";
  const std::string log = this->folder + "/" + this->settings.name + ".log";
  std::ofstream(path) << this->FillTemplate();
  const std::string argument = "--settings=" + path;
  const pid_t parent = getpid();
  this->pid = fork();
  if (this->pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
      _exit(1);
    }
    const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    execl(kProgram, kProgram, argument.c_str(), nullptr);
    _exit(127);
  }
  this->record.Line("node " + this->settings.name + " is started");
  return this->pid > 0;
}

void Node::Signal(int number) {
  if (this->pid > 0) {
    this->record.Line("node " + this->settings.name + " gets signal " + std::to_string(number));
    kill(this->pid, number);
  }
}

std::optional<int> Node::TakeExit() {
  int status = 0;
  if (this->pid <= 0 || waitpid(this->pid, &status, WNOHANG) != this->pid) {
    return std::nullopt;
  }
  this->pid = 0;
  this->record.Line("node " + this->settings.name + " has ended" +
                    (WIFSIGNALED(status) ? " by signal " + std::to_string(WTERMSIG(status))
                                         : " with status " + std::to_string(WEXITSTATUS(status))));
  return status;
}

bool Node::IsReady() const {
  const std::unique_ptr<HttpConnection> connection = HttpConnection::Connect(
      {this->settings.ip, this->settings.ready}, Milliseconds(500), this->settings.ip);
  HttpMessage answer;
  return connection != nullptr &&
         connection->Write("GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n") &&
         connection->Read(answer, Milliseconds(500)) == ReadResult::kMessage &&
         answer.Status() == 200;
}

bool Node::WaitUntilReady(Milliseconds timeout) const {
  const auto until = std::chrono::steady_clock::now() + timeout;
  while (std::chrono::steady_clock::now() < until) {
    if (this->IsReady()) {
      return true;
    }
    std::this_thread::sleep_for(Milliseconds(50));
  }
  return false;
}

std::size_t Node::ResidentBytes() const {
  std::ifstream file("/proc/" + std::to_string(this->pid) + "/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

}  // namespace review
