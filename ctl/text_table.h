#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace masticpin {

/// Writes the rows with aligned columns. Rows may differ in length.
void WriteTable(const std::vector<std::vector<std::string>>& rows, std::ostream& out);

}  // namespace masticpin
