#pragma once

#include "Bundle.h"

namespace hyssopwick {

/// Reads every "*.toml" file below \p directory, in name order, as one record each.
/// \param findings  receives all problems of all files, including records that appear
///                  in two files and the findings of Bundle::crossCheck()
/// \returns the bundle of all records; to be used only if there are no findings
Bundle readRecordDirectory(const std::string& directory, Findings& findings);

}
