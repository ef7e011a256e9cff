#include "review/standins-2/deployment.h"

#include <sodium.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <sstream>
#include <stdexcept>

#include "platform/soak/run_after.h"

namespace masticpin::review {
namespace {

using Clock = std::chrono::steady_clock;

/// Ports of each machine, from the first one on.
constexpr std::uint16_t kPeerOffset = 0;
constexpr std::uint16_t kRequestOffset = 1;
constexpr std::uint16_t kReadyOffset = 2;
constexpr std::uint16_t kAppOffset = 3;
constexpr std::uint16_t kMetricsOffset = 4;
constexpr std::uint16_t kQuotaOffset = 5;
constexpr std::uint16_t kPorts = 6;

std::string Base64(const std::string& bytes) {
  std::string text(sodium_base64_encoded_len(bytes.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
  sodium_bin2base64(text.data(), text.size(), reinterpret_cast<const unsigned char*>(bytes.data()),
                    bytes.size(), sodium_base64_VARIANT_ORIGINAL);
  text.pop_back();
  return text;
}

std::string Parameter(const std::string& request, const std::string& name) {
  const std::string line = request.substr(0, request.find("\r\n"));
  std::size_t start = line.find("?" + name + "=");
  if (start == std::string::npos) {
    start = line.find("&" + name + "=");
  }
  if (start == std::string::npos) {
    return "";
  }
  const std::size_t value = start + name.size() + 2;
  return line.substr(value, line.find_first_of("& ", value) - value);
}

std::string RevisionJson(std::uint64_t revision) {
  return R"("currentRev":)" + std::to_string(revision);
}

}  // namespace

bool WithTrouble() {
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

int RunCase(int argc, char** argv, int (*run)(const std::string& directory)) {
  try {
    return run(argc > 1 ? argv[1] : ".");
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return kCannotRun;
  }
}

Store::Store(boost::asio::io_context& loop) : loop(loop) {
  this->snapshots.push_back({Clock::now(), {}, this->revision});
}

SocketAddress Store::AddEntrance(const std::string& machine, const std::string& ip) {
  this->entrances.push_back(std::make_unique<ScriptedServer>(
      this->loop, ip, [this, machine](Connection& connection, const std::string& request) {
        this->OnRequest(machine, connection, request);
      }));
  return this->entrances.back()->Address();
}

void Store::TurnAway(const std::string& machine, int status) {
  this->turned_away[machine] = status;
  std::erase_if(this->watches, [&](const Watch& watch) {
    if (status == 0 || watch.machine != machine) {
      return false;
    }
    Respond(*watch.connection, status, "{}");
    return true;
  });
}

void Store::Put(const std::string& key, const std::string& value) {
  Item& item = this->items[key];
  item.value = value;
  item.revision = ++this->revision;
  if (item.created == 0) {
    item.created = item.revision;
  }
  this->history.push_back({key, this->revision, false});
  this->OnChange();
}

void Store::Remove(const std::string& key) {
  if (this->items.erase(key) == 0) {
    return;
  }
  this->history.push_back({key, ++this->revision, true});
  this->OnChange();
}

void Store::OnChange() {
  this->snapshots.push_back({Clock::now(), this->items, this->revision});
  std::erase_if(this->watches, [this](const Watch& watch) { return this->AnswerWatch(watch); });
}

const Store::Snapshot& Store::StaleSnapshot() const {
  const auto limit = Clock::now() - this->staleness;
  const auto later =
      std::find_if(this->snapshots.begin(), this->snapshots.end(),
                   [limit](const Snapshot& snapshot) { return snapshot.at > limit; });
  return later == this->snapshots.begin() ? this->snapshots.front() : *std::prev(later);
}

std::string Store::ItemJson(const std::string& key, const Item& item) {
  return R"({"key":")" + key + R"(","value":")" + Base64(item.value) + R"(","revision":)" +
         std::to_string(item.revision) + R"(,"createdRev":)" + std::to_string(item.created) +
         R"(,"lease":0})";
}

void Store::Respond(Connection& connection, int status, const std::string& body) {
  connection.Send("HTTP/1.1 " + std::to_string(status) +
                  " X\r\nContent-Type: application/json\r\nContent-Length: " +
                  std::to_string(body.size()) + "\r\n\r\n" + body);
}

void Store::OnRequest(const std::string& machine,
                      Connection& connection,
                      const std::string& request) {
  if (this->dead_connections.contains(&connection)) {
    return;
  }
  if (this->turned_away[machine] != 0) {
    Respond(connection, this->turned_away[machine], "{}");
    return;
  }
  if (request.starts_with("GET /v1/kv-key?")) {
    const auto item = this->items.find(Parameter(request, "key"));
    if (item == this->items.end()) {
      Respond(connection, 404, "{" + RevisionJson(this->revision) + "}");
      return;
    }
    std::string body = ItemJson(item->first, item->second);
    body.pop_back();
    Respond(connection, 200, body + "," + RevisionJson(this->revision) + "}");
  } else if (request.starts_with("GET /v1/kv-range?")) {
    this->OnRange(connection, request);
  } else if (request.starts_with("GET /v1/kv-watch?")) {
    this->OnWatch(machine, connection, request);
  } else {
    Respond(connection, 400, "{}");
  }
}

void Store::OnRange(Connection& connection, const std::string& request) {
  const bool stale = Parameter(request, "allowStale") == "1";
  const Snapshot& snapshot = stale ? this->StaleSnapshot() : this->snapshots.back();
  const std::string prefix = Parameter(request, "prefix");
  const std::string after = Parameter(request, "after");
  std::string list;
  for (const auto& [key, item] : snapshot.items) {
    if (key.starts_with(prefix) && key > after) {
      list += (list.empty() ? "" : ",") + ItemJson(key, item);
    }
  }
  Respond(connection, 200,
          "{\"items\":[" + list + "],\"hasMore\":false," + RevisionJson(snapshot.revision) + "}");
}

void Store::OnWatch(const std::string& machine,
                    Connection& connection,
                    const std::string& request) {
  const Watch watch{connection.shared_from_this(), machine, Parameter(request, "prefix"),
                    std::stoull(Parameter(request, "after")), this->next_watch++};
  if (watch.after > this->revision) {
    Respond(connection, 410, "{}");
    return;
  }
  if (this->AnswerWatch(watch)) {
    return;
  }
  this->watches.push_back(watch);
  const Milliseconds wait(std::stoi(Parameter(request, "waitMs")));
  RunAfter(this->loop, wait, [this, number = watch.number] {
    const auto found =
        std::find_if(this->watches.begin(), this->watches.end(),
                     [number](const Watch& waiting) { return waiting.number == number; });
    if (found != this->watches.end()) {
      Respond(*found->connection, 200, "{\"events\":[]," + RevisionJson(this->revision) + "}");
      this->watches.erase(found);
    }
  });
}

bool Store::AnswerWatch(const Watch& watch) {
  std::string events;
  bool lost = false;
  for (const Change& change : this->history) {
    if (change.revision <= watch.after || !change.key.starts_with(watch.prefix)) {
      continue;
    }
    lost |= change.key == this->lost_key;
    const auto item = this->items.find(change.key);
    events += events.empty() ? "" : ",";
    events += change.removed || item == this->items.end()
                  ? R"({"key":")" + change.key + R"(","revision":)" +
                        std::to_string(change.revision) + R"(,"removed":true})"
                  : ItemJson(change.key, item->second);
  }
  if (events.empty()) {
    return false;
  }
  if (lost) {
    this->lost_key.clear();
    ++this->lost_answers;
    this->dead_connections.insert(watch.connection.get());
    return true;
  }
  Respond(*watch.connection, 200,
          "{\"events\":[" + events + "]," + RevisionJson(this->revision) + "}");
  return true;
}

Deployment::Deployment(std::string directory, DeploymentSettings settings)
    : directory(std::move(directory)),
      settings(settings),
      start(Clock::now()),
      record(this->directory + "/record.txt") {
  if (!this->ChoosePorts()) {
    throw std::runtime_error("no free ports");
  }
  this->store = std::make_unique<Store>(this->loop);
}

Deployment::~Deployment() {
  this->machines.clear();  // Ends the nodes.
}

bool Deployment::ChoosePorts() {
  const auto pid = static_cast<std::uint32_t>(getpid());
  this->network = "127." + std::to_string(64 + pid / 250 % 128) + "." + std::to_string(pid % 250);
  constexpr std::uint16_t kLowest = 20000;
  constexpr std::uint16_t kHighest = 30000;
  for (std::uint16_t port = kLowest; port < kHighest; port += kPorts) {
    bool free = true;
    for (std::uint16_t i = 0; i < kPorts && free; ++i) {
      boost::system::error_code error;
      boost::asio::ip::tcp::acceptor acceptor(this->loop);
      acceptor.open(boost::asio::ip::tcp::v4(), error);
      acceptor.bind({boost::asio::ip::make_address(this->network + ".1"),
                     static_cast<std::uint16_t>(port + i)},
                    error);
      free = !error;
    }
    if (free) {
      this->first_port = port;
      return true;
    }
  }
  return false;
}

Machine& Deployment::AddMachine(const std::string& service, const std::string& zone) {
  auto added = std::make_unique<Machine>();
  Machine& machine = *added;
  const std::size_t index = this->machines.size() + 1;
  const std::string number = std::to_string(index);
  machine.name = "sidecar-" + zone + "-" + number;
  machine.service = service;
  machine.zone = zone;
  machine.ip = this->network + "." + number;
  machine.instance = "i-" + number + "a91c2" + number;
  this->StartServer(machine);
  const auto address = [&](std::uint16_t offset) {
    return machine.ip + ":" + std::to_string(this->first_port + offset);
  };
  const std::string file = this->directory + "/" + machine.name + ".ini";
  std::ofstream ini(file);
  ini << "[node]\nname = " << machine.name << "\nservice = " << service << "\nzone = " << zone
      << "\nrequest_address = " << address(kRequestOffset)
      << "\npeer_address = " << address(kPeerOffset)
      << "\nready_address = " << address(kReadyOffset)
      << "\nmetrics_address = " << address(kMetricsOffset)
      << "\nupstream_address = " << address(kAppOffset) << "\nregistry_address = "
      << this->store->AddEntrance(machine.name, this->network + "." + std::to_string(200 + index))
             .ToString()
      << "\n\n[limits]\nmemory_mb = " << this->settings.memory_mb
      << "\nstop_seconds = " << this->settings.grace_seconds
      << "\nleave_notice_ms = " << this->settings.drain_ms
      << "\n\n[retries]\nratio = 0.2\nslack = " << this->settings.budget_slack
      << "\nwindow_seconds = 10\n\n";
  if (this->settings.quotas) {
    ini << "[allotments]\naddress = " << address(kQuotaOffset)
        << "\ntolerance = 0.25\nslack = 20\n\n[importance]\nminimum_share = 0.15\n\n";
  }
  ini << "[log]\nlevel = info\n";
  ini.close();
  machine.node = std::make_unique<NodeProcess>("target/masticpin-sidecar", file,
                                               this->directory + "/" + machine.name + ".log");
  machine.node->Start();
  this->machines.push_back(std::move(added));
  return machine;
}

void Deployment::StartServer(Machine& machine) {
  // A former server is kept, because its connections may still have pending reads.
  if (machine.server != nullptr) {
    this->former_servers.push_back(std::move(machine.server));
  }
  machine.server = std::make_unique<ScriptedServer>(
      this->loop, machine.ip,
      [this, &machine](ScriptedServer::Connection& connection, const std::string& request) {
        this->OnServerRequest(machine, connection, request);
      },
      static_cast<std::uint16_t>(this->first_port + kAppOffset));
}

void Deployment::EndServer(Machine& machine) {
  machine.server->StopListening();
  for (const auto& connection : machine.server->Connections()) {
    connection->Reset();
  }
}

void Deployment::WriteEntry(const Machine& machine, int cold_ms) {
  this->store->Put("servers/" + machine.instance,
                   R"({"service":")" + machine.service + R"(","address":")" +
                       machine.server->Address().ToString() + R"(","zone":")" + machine.zone +
                       R"(","version":"v1","slots":100,"state":")" +
                       (machine.leaving ? "draining" : "ready") + R"(","coldRemainingMs":)" +
                       std::to_string(cold_ms) + R"(,"seq":4})");
}

void Deployment::OnServerRequest(Machine& machine,
                                 ScriptedServer::Connection& connection,
                                 const std::string& request) {
  const std::string id = FieldOf(request, "X-Attempt-Id");
  const std::string common = "\r\nX-Attempt-Id: " + id + "\r\nX-Instance-Id: " + machine.instance +
                             (machine.leaving ? "\r\nConnection: close" : "");
  const std::string expected = FieldOf(request, "X-Expect-Instance");
  if (!expected.empty() && expected != machine.instance) {
    connection.Send("HTTP/1.1 421 Misdirected Request" + common + "\r\nContent-Length: 0\r\n\r\n");
    return;
  }
  const std::size_t space = request.find(' ');
  this->runs.push_back({id, request.substr(space + 1, request.find(' ', space + 1) - space - 1),
                        machine.instance, machine.service, Clock::now()});
  const Milliseconds work =
      this->work_of ? this->work_of(this->runs.back().target) : this->settings.work;
  RunAfter(this->loop, work,
           [held = connection.shared_from_this(), common, id, close = machine.leaving] {
             const std::string body = "answer to " + id;
             held->Send("HTTP/1.1 200 OK" + common + "\r\nX-Server-Seal: seal." + id +
                        "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
             if (close) {
               held->Close();
             }
           });
}

void Deployment::RunFor(Milliseconds time) {
  const auto end = Clock::now() + time;
  constexpr Milliseconds kStep{5};
  while (Clock::now() < end) {
    this->loop.restart();
    this->loop.run_for(
        std::min<Clock::duration>(kStep, std::max(end - Clock::now(), Clock::duration::zero())));
    this->PollRequests();
  }
}

bool Deployment::RunUntilReady(Milliseconds time) {
  const auto end = Clock::now() + time;
  while (Clock::now() < end) {
    this->RunFor(Milliseconds(100));
    if (std::all_of(this->machines.begin(), this->machines.end(),
                    [this](const auto& machine) { return this->IsReady(*machine); })) {
      return true;
    }
  }
  return false;
}

bool Deployment::IsReady(const Machine& machine) {
  return this->Fetch(machine, kReadyOffset, "/v1/ready").starts_with("HTTP/1.1 200");
}

std::string Deployment::Fetch(const Machine& machine,
                              std::uint16_t port,
                              const std::string& target) {
  const SocketAddress address{machine.ip, static_cast<std::uint16_t>(this->first_port + port)};
  try {
    RawCaller caller(this->loop, address);
    caller.Send("GET " + target + " HTTP/1.1\r\nHost: " + machine.ip +
                "\r\nConnection: close\r\n\r\n");
    for (int i = 0; i < 100 && caller.ResponseCount() == 0 && !caller.IsClosedByPeer(); ++i) {
      this->loop.restart();
      this->loop.run_for(Milliseconds(2));
    }
    std::string answer = caller.Received();
    caller.Close();
    return answer;
  } catch (const boost::system::system_error&) {
    return "";
  }
}

double Deployment::Metric(const Machine& machine, const std::string& name) {
  std::istringstream lines(this->Fetch(machine, kMetricsOffset, "/metrics"));
  std::string line;
  while (std::getline(lines, line)) {
    if (line.starts_with(name + " ")) {
      return std::stod(line.substr(name.size() + 1));
    }
  }
  return -1;
}

void Deployment::SendRequest(const Machine& machine,
                             const std::string& method,
                             const std::string& target,
                             Milliseconds deadline,
                             const std::string& head_lines) {
  ClientRequest request;
  request.id = "a" + std::to_string(this->next_id++);
  request.machine = machine.name;
  request.sent_at = Clock::now();
  const SocketAddress address{machine.ip,
                              static_cast<std::uint16_t>(this->first_port + kRequestOffset)};
  try {
    request.caller = std::make_shared<RawCaller>(this->loop, address);
    request.caller->Send(method + " " + target +
                         " HTTP/1.1\r\nHost: calls.example\r\nX-Attempt-Id: " + request.id +
                         "\r\nX-Deadline-Ms: " + std::to_string(deadline.count()) + "\r\n" +
                         head_lines + (method == "POST" ? "Content-Length: 0\r\n" : "") + "\r\n");
  } catch (const boost::system::system_error&) {
    request.status = -1;
  }
  this->requests.push_back(std::move(request));
}

std::vector<std::string> Deployment::SendPipelined(const Machine& machine,
                                                   const std::vector<std::string>& targets,
                                                   Milliseconds deadline) {
  const auto caller = std::make_shared<RawCaller>(
      this->loop,
      SocketAddress{machine.ip, static_cast<std::uint16_t>(this->first_port + kRequestOffset)});
  std::vector<std::string> ids;
  for (const std::string& target : targets) {
    ClientRequest request;
    request.id = "a" + std::to_string(this->next_id++);
    request.machine = machine.name;
    request.sent_at = Clock::now();
    request.caller = caller;
    request.position = static_cast<int>(ids.size());
    caller->Send("GET " + target +
                 " HTTP/1.1\r\nHost: calls.example\r\nX-Attempt-Id: " + request.id +
                 "\r\nX-Deadline-Ms: " + std::to_string(deadline.count()) + "\r\n\r\n");
    ids.push_back(request.id);
    this->requests.push_back(std::move(request));
  }
  return ids;
}

const ServerRun* Deployment::FindRun(const std::string& id) const {
  const auto found = std::find_if(this->runs.rbegin(), this->runs.rend(),
                                  [&id](const ServerRun& run) { return run.id == id; });
  return found == this->runs.rend() ? nullptr : &*found;
}

const ClientRequest& Deployment::FindRequest(const std::string& id) const {
  return *std::find_if(this->requests.begin(), this->requests.end(),
                       [&id](const ClientRequest& request) { return request.id == id; });
}

void Deployment::PollRequests() {
  for (ClientRequest& request : this->requests) {
    if (request.status != 0 || request.caller == nullptr) {
      continue;
    }
    if (request.caller->ResponseCount() > request.position) {
      // The answers are in the order of the requests, and each contains the id of its request.
      const std::string& answers = request.caller->Received();
      const std::size_t id = answers.find("X-Attempt-Id: " + request.id + "\r\n");
      const std::size_t begin = answers.rfind("HTTP/1.1 ", id);
      request.status = begin == std::string::npos ? -1 : std::stoi(answers.substr(begin + 9, 3));
    } else if (request.caller->IsClosedByPeer()) {
      request.status = -1;
    } else {
      continue;
    }
    if (request.caller.use_count() == 1) {
      request.caller->Close();
    }
    request.caller.reset();
  }
}

std::int64_t Deployment::MillisecondsOf(Clock::time_point time) const {
  return std::chrono::duration_cast<Milliseconds>(time - this->start).count();
}

void Deployment::Record(const std::string& line) {
  this->record << "ms=" << this->MillisecondsOf(Clock::now()) << " " << line << std::endl;
}

void Deployment::RecordTraffic() {
  for (const ClientRequest& request : this->requests) {
    this->record << "ms=" << this->MillisecondsOf(request.sent_at) << " request id=" << request.id
                 << " machine=" << request.machine << " status=" << request.status << "\n";
  }
  for (const ServerRun& run : this->runs) {
    this->record << "ms=" << this->MillisecondsOf(run.at) << " run id=" << run.id
                 << " target=" << run.target << " service=" << run.service
                 << " server=" << run.server << "\n";
  }
  this->record.flush();
}

}  // namespace masticpin::review
