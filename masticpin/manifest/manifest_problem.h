#pragma once

#include "masticpin/base/ini_problem.h"

namespace masticpin {

/// One mistake in a manifest.
using ManifestProblem = IniProblem;

}  // namespace masticpin
