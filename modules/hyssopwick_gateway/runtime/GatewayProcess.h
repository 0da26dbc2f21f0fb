#pragma once

#include "GatewayContext.h"

namespace hyssopwick {

/// Interface of the entry and agent processes.
class GatewayProcess {
public:
    virtual ~GatewayProcess() = default;

    virtual Outcome<void> start() = 0;

    /// Begins a planned stop, which ends by stopping the event loop.
    virtual void stop() = 0;

    /// Applies settings that were read again.
    virtual void reload(const ProcessDescription& description) = 0;
};

}
