#pragma once

#include "masticpin/base/ini_problem.h"

namespace masticpin {

/// One problem in a manifest.
using ManifestProblem = IniProblem;

}  // namespace masticpin
