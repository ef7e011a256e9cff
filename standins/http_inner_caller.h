#pragma once

#include <string>
#include <utility>

#include "standins/client_pool.h"
#include "standins/inner_caller.h"

namespace masticpin::standins {

/// Sends inner calls over HTTP to the node of the upstream.
class HttpInnerCaller : public InnerCaller {
 public:
  explicit HttpInnerCaller(std::string node_address) : node_address(std::move(node_address)) {}

  InnerOutcome Call(const InnerCall& call) override;

 private:
  const std::string node_address;
  ClientPool clients;
};

}  // namespace masticpin::standins
