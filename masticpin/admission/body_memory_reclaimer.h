#pragma once

namespace masticpin {

class BodyMemory;

/// Makes room in a BodyMemory by ending what holds it and makes no progress.
class BodyMemoryReclaimer {
 public:
  virtual ~BodyMemoryReclaimer() = default;

  /// Releases one or more reservations of `memory`. Returns false if nothing may be ended.
  virtual bool Reclaim(BodyMemory& memory) = 0;
};

}  // namespace masticpin
