#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>

#include "ctl/control_program.h"

DEFINE_bool(json, false, "diff and status write JSON");
DEFINE_int32(timeout_ms,
             2000,
             "timeout of the connect, and of each read and write, of one request");

DECLARE_bool(help);
DECLARE_bool(version);

namespace google {
// Exported by gflags but not declared in its headers. gflags calls it for an invalid flag.
extern void (*gflags_exitfunc)(int);
}  // namespace google

namespace {

bool IsTimeoutAllowed(const char* /*flag*/, gflags::int32 value) {
  return value >= 1 && value <= 60'000;
}
DEFINE_validator(timeout_ms, &IsTimeoutAllowed);

}  // namespace

int main(int argc, char** argv) {
  using masticpin::ControlProgram;
  // By default gflags exits with status 1, which masticpinctl uses for a problem with a file or
  // node.
  google::gflags_exitfunc = [](int /*status*/) { std::exit(masticpin::kExitUsage); };
  // The help of gflags lists the library's own flags but not the commands, so it is replaced.
  gflags::ParseCommandLineNonHelpFlags(&argc, &argv, /*remove_flags=*/true);
  if (FLAGS_help) {
    std::cout << ControlProgram::Usage();
    return masticpin::kExitOk;
  }
  if (FLAGS_version) {
    std::cout << "masticpinctl " MASTICPIN_VERSION "\n";
    return masticpin::kExitOk;
  }
  const masticpin::ControlOptions options{FLAGS_json, std::chrono::milliseconds(FLAGS_timeout_ms)};
  ControlProgram program(options, std::cout, std::cerr);
  return program.Run({argv + 1, argv + argc});
}
