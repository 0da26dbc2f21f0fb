#pragma once

#include "../model/ProcessDescription.h"
#include "CallCodec.h"
#include "DirectoryCodec.h"
#include "EngineCodec.h"
#include "StoreCodec.h"

#include <memory>

namespace hyssopwick {

/// Codecs for one platform's formats. They are stateless and shared.
struct PlatformPorts {
    std::shared_ptr<const CallCodec> calls;
    std::shared_ptr<const DirectoryCodec> directory;
    std::shared_ptr<const EngineCodec> engines;
    std::shared_ptr<const StoreCodec> store;
    /// Reads the settings of this process; all findings are reported together.
    std::function<Outcome<ProcessDescription>()> readSettings;
};

}
