#pragma once

#include "GatewayContext.h"

namespace hyssopwick {

/// What runs in a gateway process.
class GatewayProcess {
public:
    virtual ~GatewayProcess() = default;

    virtual Outcome<void> start() = 0;

    /// Begins a planned stop, which ends by stopping the event loop.
    virtual void stop() = 0;

    /// Takes over settings that were read anew.
    virtual void reload(const ProcessDescription& description) = 0;
};

}
