#include "ctl/control_program.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "ctl/log_explainer.h"
#include "ctl/node_client.h"
#include "ctl/text_table.h"
#include "masticpin/base/socket_address.h"
#include "masticpin/manifest/manifest_diff.h"
#include "masticpin/manifest/manifest_parser.h"
#include "masticpin/settings/settings_parser.h"

namespace masticpin {
namespace {

// Keeps the fields in the order in which the node wrote them.
using Json = nlohmann::ordered_json;

// Reads at most one byte more than the maximum size of a manifest, so that the parser reports
// larger files.
std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::string text(ManifestParser::kMaxTextBytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  // Opening a directory succeeds, but reading from it fails.
  if (!file.is_open() || file.bad() || (file.fail() && !file.eof())) {
    return std::nullopt;
  }
  text.resize(static_cast<std::size_t>(file.gcount()));
  return text;
}

std::string ToCell(const Json& value) {
  if (value.is_string()) {
    return value.get<std::string>();
  }
  return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

// Adds the fields of a status to `row` in the columns of the same name; fields of nested objects
// get names such as "load.limit". Appends new columns to `columns`.
void AddCells(const Json& status,
              const std::string& prefix,
              std::vector<std::string>& columns,
              std::vector<std::string>& row) {
  for (const auto& [key, value] : status.items()) {
    const std::string name = prefix + key;
    if (value.is_object()) {
      AddCells(value, name + ".", columns, row);
      continue;
    }
    auto column = std::find(columns.begin(), columns.end(), name);
    if (column == columns.end()) {
      column = columns.insert(columns.end(), name);
    }
    const auto index = static_cast<std::size_t>(column - columns.begin());
    row.resize(std::max(row.size(), index + 1));
    row[index] = ToCell(value);
  }
}

}  // namespace

int ControlProgram::Run(const std::vector<std::string>& arguments) {
  if (arguments.empty()) {
    return this->UsageError("a command is missing");
  }
  const std::string& command = arguments.front();
  const std::vector<std::string> rest(arguments.begin() + 1, arguments.end());
  if (command == "check") {
    return rest.size() == 1 ? this->Check(rest[0]) : this->UsageError("check takes one file");
  }
  if (command == "diff") {
    return rest.size() == 2 ? this->Diff(rest[0], rest[1])
                            : this->UsageError("diff takes two files");
  }
  if (command == "settings") {
    return rest.empty() ? this->Settings() : this->UsageError("settings takes no argument");
  }
  if (command == "status") {
    return rest.empty() ? this->UsageError("status takes at least one address")
                        : this->Status(rest);
  }
  if (command == "drain") {
    return rest.size() == 1 ? this->Drain(rest[0]) : this->UsageError("drain takes one address");
  }
  if (command == "explain") {
    return rest.size() >= 2 ? this->Explain(rest[0], {rest.begin() + 1, rest.end()})
                            : this->UsageError("explain takes an id and at least one log file");
  }
  return this->UsageError("unknown command \"" + command + "\"");
}

std::string_view ControlProgram::Usage() {
  return "Usage: masticpinctl [FLAGS] COMMAND\n"
         "\n"
         "Commands:\n"
         "  check FILE         checks a manifest and lists all its problems\n"
         "  diff OLD NEW       lists what becomes stricter or looser between two manifests\n"
         "  settings           prints the page of the node settings\n"
         "  status ADDRESS...  shows the status of nodes (IP:port of http_address)\n"
         "  drain ADDRESS      starts the graceful shutdown of a node\n"
         "  explain ID FILE... finds the cause of a failed request in the logs of sidecars\n"
         "\n"
         "Flags:\n"
         "  --json             diff and status write JSON\n"
         "  --timeout_ms=N     timeout of the connect, and of each read and write, of one request\n"
         "                     to a node (1 to 60000, default 2000)\n"
         "  --help, --version\n"
         "\n"
         "Exit status: 0 ok; 1 a manifest is not valid, a node refused the request or no log "
         "names\n"
         "the request; 2 the command line is wrong, a file cannot be read or a node cannot be\n"
         "reached.\n";
}

int ControlProgram::Check(const std::string& path) {
  int exit_status = kExitOk;
  const Ref<const Manifest> manifest = this->Load(path, exit_status);
  if (manifest == nullptr) {
    return exit_status;
  }
  *this->out << path << ": valid; site " << manifest->Site() << ", version " << manifest->Version()
             << ", " << manifest->Services().size() << " services, " << manifest->Kinds().size()
             << " kinds\n";
  return kExitOk;
}

int ControlProgram::Diff(const std::string& old_path, const std::string& new_path) {
  // Both files are read before returning, so that the problems of both are listed.
  int old_status = kExitOk;
  int new_status = kExitOk;
  const Ref<const Manifest> before = this->Load(old_path, old_status);
  const Ref<const Manifest> after = this->Load(new_path, new_status);
  if (before == nullptr || after == nullptr) {
    return std::max(old_status, new_status);
  }

  const std::vector<ManifestChange> changes = ManifestDiff::Compare(*before, *after);
  if (this->options.json) {
    Json list = Json::array();
    for (const ManifestChange& change : changes) {
      list.push_back({{"effect", ChangeEffectName(change.effect)},
                      {"section", change.section},
                      {"key", change.key},
                      {"before", change.before},
                      {"after", change.after}});
    }
    *this->out << list.dump(2) << "\n";
  } else if (changes.empty()) {
    *this->out << "no difference\n";
  } else {
    std::vector<std::vector<std::string>> rows = {{"EFFECT", "SECTION", "KEY", "CHANGE"}};
    for (const ManifestChange& change : changes) {
      const auto text = [](const std::string& value) { return value.empty() ? "(none)" : value; };
      rows.push_back({std::string(ChangeEffectName(change.effect)), change.section,
                      change.key.empty() ? "(section)" : change.key,
                      text(change.before) + " -> " + text(change.after)});
    }
    WriteTable(rows, *this->out);
  }

  if (!changes.empty() && after->Version() <= before->Version()) {
    *this->err << new_path << ": version " << after->Version() << " is not higher than "
               << before->Version() << "; nodes that hold the old manifest would reject it\n";
    return kExitProblem;
  }
  return kExitOk;
}

int ControlProgram::Settings() {
  *this->out << SettingsParser::MarkdownPage();
  return kExitOk;
}

int ControlProgram::Status(const std::vector<std::string>& addresses) {
  // All addresses are checked before the first request, so that a typing error in the last one does
  // not discard the responses of the other nodes.
  for (const std::string& text : addresses) {
    if (!SocketAddress::Parse(text)) {
      return this->UsageError("\"" + text + "\" is not an IP address and a port");
    }
  }
  const NodeClient client(this->options.timeout);
  int exit_status = kExitOk;
  Json list = Json::array();
  std::vector<std::vector<std::string>> rows = {{"address"}};
  for (const std::string& text : addresses) {
    const SocketAddress address = *SocketAddress::Parse(text);
    // A node that fails must not hide the status of the others.
    std::string error;
    Json status;
    const std::optional<NodeResponse> response = client.Get(address, "/_masticpin/status", error);
    if (!response) {
      exit_status = kExitUsage;
    } else {
      status = Json::parse(response->body, nullptr, /*allow_exceptions=*/false);
      if (response->status != 200 || !status.is_object()) {
        error = "HTTP status " + std::to_string(response->status) +
                (status.is_object() ? "" : " without a JSON object");
        exit_status = std::max<int>(exit_status, kExitProblem);
      }
    }
    if (!error.empty()) {
      *this->err << text << ": " << error << "\n";
      list.push_back({{"address", text}, {"error", error}});
      continue;
    }
    list.push_back({{"address", text}, {"status", status}});
    std::vector<std::string> row = {text};
    AddCells(status, "", rows.front(), row);
    rows.push_back(std::move(row));
  }
  if (this->options.json) {
    *this->out << list.dump(2, ' ', false, Json::error_handler_t::replace) << "\n";
  } else if (rows.size() > 1) {
    WriteTable(rows, *this->out);
  }
  return exit_status;
}

int ControlProgram::Drain(const std::string& address_text) {
  const std::optional<SocketAddress> address = SocketAddress::Parse(address_text);
  if (!address) {
    return this->UsageError("\"" + address_text + "\" is not an IP address and a port");
  }
  std::string error;
  const std::optional<NodeResponse> response =
      NodeClient(this->options.timeout).Post(*address, "/_masticpin/drain", error);
  if (!response) {
    *this->err << address_text << ": " << error << "\n";
    return kExitUsage;
  }
  if (response->status < 200 || response->status > 299) {
    *this->err << address_text << ": HTTP status " << response->status << "\n";
    return kExitProblem;
  }
  *this->out << address_text << ": draining\n";
  return kExitOk;
}

int ControlProgram::Explain(const std::string& id, const std::vector<std::string>& paths) {
  // Two passes, so that only the lines of the request and of the time around it are kept in memory.
  LogExplainer explainer(id);
  for (const bool second_pass : {false, true}) {
    for (const std::string& path : paths) {
      std::ifstream file(path);
      std::string line;
      while (std::getline(file, line)) {
        const std::optional<LogLine> parsed = LogLine::Parse(line, path);
        if (!parsed.has_value()) {
          continue;
        }
        if (second_pass) {
          explainer.AddContextLine(*parsed);
        } else {
          explainer.AddRequestLine(*parsed);
        }
      }
      if (!file.eof()) {
        *this->err << path << ": cannot be read: " << std::strerror(errno) << "\n";
        return kExitUsage;
      }
    }
    if (!explainer.Found()) {
      *this->err << "no log line names " << id
                 << "; requests that succeed at the first attempt are not logged\n";
      return kExitProblem;
    }
  }
  explainer.Write(*this->out);
  return kExitOk;
}

Ref<const Manifest> ControlProgram::Load(const std::string& path, int& exit_status) {
  const std::optional<std::string> text = ReadFile(path);
  if (!text) {
    *this->err << path << ": cannot be read: " << std::strerror(errno) << "\n";
    exit_status = kExitUsage;
    return nullptr;
  }
  ManifestParseResult result = ManifestParser::Parse(*text, path);
  for (const ManifestProblem& problem : result.problems) {
    *this->err << FormatProblem(problem) << "\n";
  }
  exit_status = result.Ok() ? kExitOk : kExitProblem;
  return std::move(result.manifest);
}

int ControlProgram::UsageError(std::string_view message) {
  *this->err << "masticpinctl: " << message << "\n\n" << Usage();
  return kExitUsage;
}

}  // namespace masticpin
