#include "sidecar/peer_protocol.h"

namespace masticpin {

LoadReport DecodeLoadReport(const wire::LoadReport& load) {
  return LoadReport{load.limit(), load.in_flight(), load.queued(), load.threshold(),
                    load.repeats_left()};
}

void EncodeLoadReport(const LoadReport& load, wire::LoadReport& message) {
  message.set_limit(load.limit);
  message.set_in_flight(load.in_flight);
  message.set_queued(load.queued);
  message.set_threshold(load.threshold);
  message.set_repeats_left(load.retries_left);
}

}  // namespace masticpin
