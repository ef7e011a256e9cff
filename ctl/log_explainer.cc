#include "ctl/log_explainer.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <optional>
#include <tuple>
#include <utility>

#include "masticpin/error/error_info.h"

namespace masticpin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time before and after the lines of the request in which load and state changes are shown. Load
/// is reported every 2 s; a stopping node or an unavailable registry affects requests for some
/// seconds.
constexpr milliseconds kContextBefore = seconds(5);
constexpr milliseconds kContextAfter = seconds(2);

/// Maximum number of lines in one list; more would not help the reader.
constexpr std::size_t kMaxLines = 20;

constexpr std::array<std::string_view, 3> kFailureEvents = {"request_refused", "request_failed",
                                                            "upstream_call_failed"};

/// Events that report how a request ended for its caller.
constexpr std::array<std::string_view, 3> kEndEvents = {"request_refused", "request_failed",
                                                        "caller_gone"};

constexpr std::array<std::string_view, 17> kStateEvents = {"node_started",
                                                           "node_stopping",
                                                           "node_stopped",
                                                           "peer_leaving",
                                                           "peer_lost",
                                                           "peer_silent",
                                                           "peer_responds",
                                                           "own_instance_found",
                                                           "own_instance_leaving",
                                                           "own_instance_replaced",
                                                           "own_instance_in_service",
                                                           "configuration_refused",
                                                           "configuration_in_force",
                                                           "registry_lost",
                                                           "registry_regained",
                                                           "watch_restarted",
                                                           "settings_reloaded"};

template <std::size_t kSize>
bool Contains(const std::array<std::string_view, kSize>& names, std::string_view name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

const ErrorInfo* FindErrorInfo(std::string_view name) {
  for (int number = 1; number <= kLastErrorKind; ++number) {
    const ErrorInfo& error_info = GetErrorInfo(static_cast<ErrorKind>(number));
    if (error_info.name == name) {
      return &error_info;
    }
  }
  return nullptr;
}

// Returns true for a load line that shows no free slot, queued requests, or refused or broken ones.
bool HasLoadProblem(const LogLine& line) {
  return line.Number("in_flight") >= line.Number("limit") || line.Number("queued") > 0 ||
         line.Number("refused") > 0 || line.Number("broken") > 0;
}

void WriteLine(const LogLine& line, std::ostream& out) {
  out << "  ";
  if (line.date.empty()) {
    out << std::fixed << std::setprecision(3) << std::chrono::duration<double>(line.time).count();
  } else {
    out << line.date;
  }
  out << " " << line.source << " " << line.text << "\n";
}

}  // namespace

void LogExplainer::AddRequestLine(const LogLine& line) {
  const std::string_view line_id = line.Field("id");
  if (line_id.substr(0, this->id.size()) == this->id &&
      (line_id.size() == this->id.size() || line_id[this->id.size()] == '.')) {
    this->request_lines.push_back(line);
  }
}

void LogExplainer::AddContextLine(const LogLine& line) {
  const auto [first, last] =
      std::minmax_element(this->request_lines.begin(), this->request_lines.end(),
                          [](const LogLine& a, const LogLine& b) { return a.time < b.time; });
  if (first == this->request_lines.end() || line.time < first->time - kContextBefore ||
      line.time > last->time + kContextAfter) {
    return;
  }
  const std::string_view event = line.Field("event");
  if (event == "load" && HasLoadProblem(line)) {
    this->load_problems.push_back(line);
  } else if (event == "log_lines_dropped") {
    this->dropped_lines += static_cast<std::uint64_t>(line.Number("count"));
  } else if (Contains(kStateEvents, event)) {
    this->state_changes.push_back(line);
  }
}

const LogLine& LogExplainer::RootCause() const {
  // Failures take precedence over retries: a retry alone means that the request continued. The id
  // of an inner call extends the id of its caller, so the deepest call has the longest id.
  const auto key = [](const LogLine& line) {
    return std::make_tuple(!Contains(kFailureEvents, line.Field("event")),
                           -static_cast<std::int64_t>(line.Field("id").size()), line.time);
  };
  return *std::min_element(this->request_lines.begin(), this->request_lines.end(),
                           [&key](const LogLine& a, const LogLine& b) { return key(a) < key(b); });
}

void LogExplainer::WriteCause(const LogLine& root_cause, std::ostream& out) const {
  const std::string_view event = root_cause.Field("event");
  const std::string_view error = root_cause.Field("error");
  const std::string_view service = root_cause.Field("service");
  if (root_cause.Field("id") != this->id) {
    out << "  It began with the call " << root_cause.Field("id") << ".\n";
  }
  const ErrorInfo* error_info = FindErrorInfo(error);
  const bool not_run = error_info != nullptr && error_info->outcome == Outcome::kNotRun;
  if (error_info != nullptr) {
    out << "  " << error << ": " << error_info->text
        << " Outcome: " << OutcomeName(error_info->outcome) << ".\n";
  }
  if (event == "request_refused" && error == "overloaded" && root_cause.Number("sends") == 0) {
    out << "  Refused at its entry (" << root_cause.Field("reason")
        << "): a service in the call chain of " << service
        << " is overloaded. See the overloaded nodes below.\n";
  } else if (event == "request_refused" && error == "overloaded") {
    out << "  Sent to " << root_cause.Field("sends") << " nodes of " << service
        << ", which were too overloaded for requests of importance "
        << root_cause.Field("importance") << ", rank " << root_cause.Field("rank")
        << ". See the overloaded nodes below.\n";
  } else if (event == "request_refused" && error == "upstream_shed") {
    out << "  The instances of " << service << " shed it.\n";
  } else if (event == "upstream_call_failed") {
    out << "  Instance " << root_cause.Field("instance") << " had the request for "
        << root_cause.Number("ran_us") / 1000 << " ms and gave no complete response ("
        << root_cause.Field("reason") << ")." << (not_run ? "" : " It may have run.") << "\n";
  } else if (event == "request_failed") {
    out << "  Instance " << root_cause.Field("instance") << " answered "
        << root_cause.Field("status") << " after " << root_cause.Field("ms") << " ms.\n";
    out << (root_cause.Field("chain_failed") == "true"
                ? "  An inner call had failed, but the logs contain no line of that call.\n"
                : "  No call that it made had failed: the cause lies in this instance, or the "
                  "deadline was too short.\n");
  }
  const bool ended = std::any_of(
      this->request_lines.begin(), this->request_lines.end(), [this](const LogLine& line) {
        return line.Field("id") == this->id && Contains(kEndEvents, line.Field("event"));
      });
  if (!ended) {
    out << "  No line says that " << this->id
        << " itself failed: a retry succeeded, or lines are missing.\n";
  }
}

void LogExplainer::WriteLines(std::string_view title,
                              std::vector<LogLine> lines,
                              std::ostream& out) {
  std::stable_sort(lines.begin(), lines.end(),
                   [](const LogLine& a, const LogLine& b) { return a.time < b.time; });
  out << title << " (" << lines.size() << ")\n";
  for (std::size_t i = 0; i < std::min(lines.size(), kMaxLines); ++i) {
    WriteLine(lines[i], out);
  }
  if (lines.size() > kMaxLines) {
    out << "  and " << lines.size() - kMaxLines << " more\n";
  }
}

void LogExplainer::Write(std::ostream& out) const {
  WriteLines("Lines of the request and its calls", this->request_lines, out);

  const LogLine& root_cause = this->RootCause();
  out << "Cause\n";
  WriteLine(root_cause, out);
  this->WriteCause(root_cause, out);

  WriteLines("Overloaded nodes, and nodes with broken requests, at that time", this->load_problems,
             out);
  WriteLines("State changes at that time", this->state_changes, out);
  if (this->dropped_lines > 0) {
    out << "The nodes dropped " << this->dropped_lines
        << " lines at that time; some may be missing.\n";
  }
}

}  // namespace masticpin
