#pragma once

#include "../http/HttpExchange.h"
#include "../runtime/GatewayContext.h"

#include <map>

namespace hyssopwick {

/// Writes the quarantined prompt blocks that this process confirmed to the store, from which all
/// processes read them, also those that start later. A write that fails is repeated; only the
/// last one for a block counts.
class PromptBlockRecords {
public:
    explicit PromptBlockRecords(GatewayContext& context);

    void write(const PromptBlockRecord& record);
    void remove(const std::string& block);

    /// Writes the records of this process again, which an older copy of the store may lack.
    void restore();

private:
    void flush();
    void flushAfter(Milliseconds delay);

    GatewayContext& m_context;
    LoopTimer m_timer;
    std::map<std::string, PromptBlockRecord> m_written; // by block
    std::map<std::string, std::optional<PromptBlockRecord>> m_pending; // by block; nothing for a removal
    bool m_isFlushing = false;
};

}
