#pragma once

#include <optional>

#include "masticpin/base/ref_counted.h"
#include "masticpin/routing/routing_configuration.h"
#include "masticpin/routing/upstream_instance.h"
#include "masticpin/wire/peer_frame.pb.h"

namespace masticpin {

/// Convert the configuration and instances to and from their form between nodes.
void EncodeConfiguration(const RoutingConfiguration& configuration,
                         wire::RoutingConfiguration& message);
/// Returns nullptr if the message is not valid.
Ref<const RoutingConfiguration> DecodeConfiguration(const wire::RoutingConfiguration& message);

void EncodeInstance(const UpstreamInstance& instance, wire::Instance& message);
/// Returns nothing if the message is not valid.
std::optional<UpstreamInstance> DecodeInstance(const wire::Instance& message);

}  // namespace masticpin
