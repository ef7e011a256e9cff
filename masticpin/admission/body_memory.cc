#include "masticpin/admission/body_memory.h"

#include <cassert>

namespace masticpin {

BodyMemory::~BodyMemory() {
  assert(this->small_bytes == 0 && this->large_bytes == 0);
}

}  // namespace masticpin
