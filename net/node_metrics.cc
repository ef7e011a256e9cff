#include "net/node_metrics.h"

#include "masticpin/error/error_info.h"

namespace masticpin {

NodeMetrics::NodeMetrics()
    : caller_responses(
          this->MakeCountersByResult("masticpin_caller_responses_total", "Responses to callers.")),
      executions(
          this->MakeCountersByResult("masticpin_executions_total", "Replies to home nodes.")),
      caller_time(this->registry.GetHistogram("masticpin_caller_seconds",
                                              "Time from a caller's request to its response.")),
      admission_wait(
          this->registry.GetHistogram("masticpin_admission_wait_seconds",
                                      "Time from the arrival of an execution to its admission.")),
      service_time(this->registry.GetHistogram("masticpin_upstream_seconds",
                                               "The upstream's own time for one execution.")),
      attempts(this->registry.GetCounter("masticpin_attempts_total",
                                         "Attempts used by the dispatches of this node.")),
      dropped_replies(this->registry.GetCounter("masticpin_dropped_replies_total",
                                                "Replies for which no call waited.")),
      malformed_messages(this->registry.GetCounter("masticpin_malformed_messages_total",
                                                   "Messages that were not valid.")),
      send_failures(this->registry.GetCounter("masticpin_send_failures_total",
                                              "Messages that were not handed to the network.")),
      limit(this->registry.GetGauge("masticpin_limit", "Present concurrency limit.")),
      in_flight(this->registry.GetGauge("masticpin_in_flight", "Executions at the upstream.")),
      queued(this->registry.GetGauge("masticpin_queued", "Executions that wait for admission.")),
      configuration_version(this->registry.GetGauge("masticpin_configuration_version",
                                                    "Version of the manifest in force.")),
      members(this->registry.GetGauge("masticpin_members", "Known instances, this one included.")) {
}

NodeMetrics::CountersByResult NodeMetrics::MakeCountersByResult(const char* name,
                                                                const char* help) {
  CountersByResult counters{};
  counters[0] = &this->registry.GetCounter(name, help, {{"result", "complete"}});
  for (int i = 1; i <= kLastErrorKind; ++i) {
    const std::string kind(GetErrorInfo(static_cast<ErrorKind>(i)).name);
    counters[static_cast<std::size_t>(i)] =
        &this->registry.GetCounter(name, help, {{"result", kind}});
  }
  return counters;
}

}  // namespace masticpin
