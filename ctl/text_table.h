#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace masticpin {

/// Writes the rows with columns of equal width. Rows may have different lengths.
void WriteTable(const std::vector<std::vector<std::string>>& rows, std::ostream& out);

}  // namespace masticpin
