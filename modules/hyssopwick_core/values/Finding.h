#pragma once

#include <string>
#include <vector>

namespace hyssopwick {

/// One problem in an input file, with its location.
struct Finding {
    std::string file;
    unsigned line;
    unsigned column;
    std::string message;

    /// Returns "file:line:column: message".
    std::string text() const
    {
        return file + ":" + std::to_string(line) + ":" + std::to_string(column) + ": " + message;
    }

    bool operator==(const Finding& other) const { return text() == other.text(); }
    bool operator!=(const Finding& other) const { return !(*this == other); }
};

/// Problems of one input, in the order of detection.
using Findings = std::vector<Finding>;

}
