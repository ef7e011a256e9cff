// Checks that an installed masticpin can be used: its headers, its library and its dependencies.

#include <iostream>

#include "masticpin/admission/admission_controller.h"
#include "masticpin/base/timer_queue.h"
#include "masticpin/execution/key_issuer.h"
#include "masticpin/manifest/manifest_parser.h"
#include "masticpin/wire/envelope.pb.h"

namespace {

class FixedClock : public masticpin::Clock {
 public:
  masticpin::TimePoint Now() const override {
    return masticpin::TimePoint(std::chrono::seconds(1));
  }
};

class CountingRandom : public masticpin::RandomSource {
 public:
  std::uint64_t Next() override { return ++this->last; }

 private:
  std::uint64_t last = 0;
};

/// Uses components of the library that depend on different third-party libraries. Returns whether
/// all of them work.
bool UseLibrary() {
  const auto parsed = masticpin::ManifestParser::Parse(
      "[manifest]\nversion = 7\nsite = example\n"
      "[service ballot]\nslots = 2\nconnections = 10\n",
      "text");

  const FixedClock clock;
  CountingRandom random;
  masticpin::KeyIssuer key_issuer(masticpin::InstanceId{"ballot-1", 5}, clock, random);
  const masticpin::ActionKey key = key_issuer.IssueKey();

  masticpin::TimerQueue timers;
  const masticpin::AdmissionController controller({}, clock, timers, random);

  masticpin::wire::Envelope envelope;
  envelope.set_epoch(3);
  masticpin::wire::Envelope copy;
  return parsed.Ok() && parsed.manifest->Version() == 7 && !key_issuer.Verify(key).has_value() &&
         controller.Statistics().offered == 0 &&
         copy.ParseFromString(envelope.SerializeAsString()) && copy.epoch() == 3;
}

}  // namespace

int main() {
  const bool works = UseLibrary();
  std::cout << (works ? "masticpin works\n" : "masticpin does not work as installed\n");
  return works ? 0 : 1;
}
