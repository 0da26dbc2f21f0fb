#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace hyssopwick {

/// Exit codes of the operator command line.
enum class ExitCode {
    Success = 0, ///< done; for audit: every promise held
    Negative = 1, ///< findings, a conflict, a broken promise, processes that lag behind
    Usage = 2, ///< wrong command line or unreadable input
    Unavailable = 3, ///< the platform or the entry VMs did not answer
};

/// Runs the operator command line.
/// \param arguments  without the program name
ExitCode runCommandLine(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& errors);

}
