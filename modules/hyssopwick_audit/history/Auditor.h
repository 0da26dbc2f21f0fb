#pragma once

#include "PromiseResult.h"

#include <memory>

namespace hyssopwick {

/// Reads event logs and checks every promise. Events of one process are ordered by
/// their sequence numbers, those of different processes related by the identities of
/// requests, attempts and configurations. Wall clocks are compared only with a tolerance.
class Auditor {
public:
    Auditor();
    ~Auditor();

    /// Reads one log. A last line without a line end is ignored: its process was killed.
    /// Fails with ErrorCode::NotFound when the file cannot be read.
    Outcome<void> addFile(const std::string& file);

    /// Reads one log from memory.
    void addText(const std::string& name, const std::string& text);

    /// Returns the verdicts on all promises.
    AuditReport finish();

private:
    struct State;
    std::unique_ptr<State> m_state;
};

}
