#pragma once

#include <optional>

#include "masticpin/base/ref_counted.h"
#include "masticpin/routing/routing_configuration.h"
#include "masticpin/routing/upstream_instance.h"
#include "masticpin/wire/peer_frame.pb.h"

namespace masticpin {

/// Convert the configuration and instances to and from the messages exchanged between nodes.
void EncodeConfiguration(const RoutingConfiguration& configuration,
                         wire::RoutingConfiguration& message);
/// Returns nullptr if the message is invalid: a route has no destination.
Ref<const RoutingConfiguration> DecodeConfiguration(const wire::RoutingConfiguration& message);

void EncodeInstance(const UpstreamInstance& instance, wire::Instance& message);
/// Returns std::nullopt if the message is invalid: the name is empty or the address is not an IP
/// address with a port.
std::optional<UpstreamInstance> DecodeInstance(const wire::Instance& message);

}  // namespace masticpin
