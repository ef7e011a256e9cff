#pragma once

#include <chrono>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "masticpin/base/ref_counted.h"
#include "masticpin/manifest/manifest.h"

namespace masticpin {

/// Exit statuses of masticpinctl.
enum ExitStatus : int {
  kExitOk = 0,
  /// A file is not valid, a node refused the request, or no log names the request.
  kExitProblem = 1,
  /// The command line is wrong, a file cannot be read, or a node cannot be reached.
  kExitUsage = 2,
};

/// Flags of masticpinctl.
struct ControlOptions {
  /// Write JSON instead of a table.
  bool json = false;
  /// Timeout of the connect, and of each read and write, of one request to a node.
  std::chrono::milliseconds timeout{2000};
};

/// The commands of masticpinctl.
class ControlProgram {
 public:
  /// The streams must outlive the program.
  ControlProgram(const ControlOptions& options, std::ostream& out, std::ostream& err)
      : options(options), out(&out), err(&err) {}

  /// Runs the command named by the first argument. Returns an ExitStatus.
  int Run(const std::vector<std::string>& arguments);

  /// Describes the commands, flags and exit statuses.
  static std::string_view Usage();

 private:
  int Check(const std::string& path);
  int Diff(const std::string& old_path, const std::string& new_path);
  int Settings();
  int Status(const std::vector<std::string>& addresses);
  int Drain(const std::string& address_text);
  int Explain(const std::string& id, const std::vector<std::string>& paths);

  // Reads a manifest and writes its problems to `err`. Sets `exit_status`; returns nullptr if the
  // manifest cannot be read or is not valid.
  Ref<const Manifest> Load(const std::string& path, int& exit_status);
  int UsageError(std::string_view message);

  ControlOptions options;
  std::ostream* out;
  std::ostream* err;
};

}  // namespace masticpin
