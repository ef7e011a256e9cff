#include "review/standins/record.h"

namespace review {

Record::Record(const std::string& path) : file(path) {}

void Record::Line(const std::string& text) {
  const std::lock_guard lock(this->mutex);
  this->file << this->Now() << " " << text << std::endl;
}

long Record::Now() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                               this->start)
      .count();
}

}  // namespace review
