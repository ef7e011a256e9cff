#pragma once

#include "masticpin/admission/body_memory.h"

namespace masticpin {

/// The memory that the messages in progress take, over all connections of a process.
struct MessageMemory {
  /// Bounds the bodies of requests and the responses together.
  BodyMemoryPool pool;
  /// Bodies of requests, from callers and peers.
  BodyMemory requests;
  /// Responses, from their arrival at the node until they are written to the peer or caller.
  BodyMemory responses;
  /// Heads of the requests in progress.
  BodyMemory heads;
  /// Bytes of callers that are not parsed yet.
  BodyMemory unparsed;
};

}  // namespace masticpin
