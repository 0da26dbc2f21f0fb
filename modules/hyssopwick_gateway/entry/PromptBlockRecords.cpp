#include "PromptBlockRecords.h"

#include "../http/HttpStatus.h"

namespace hyssopwick {

namespace {
    constexpr Milliseconds connectTimeout { 400 };
    constexpr Milliseconds storeTimeout { 1500 };
    constexpr Milliseconds retryDelay { 1000 };
}

PromptBlockRecords::PromptBlockRecords(GatewayContext& context)
    : m_context(context)
    , m_timer(context.loop)
{
}

void PromptBlockRecords::write(const PromptBlockRecord& record)
{
    m_written[record.block] = record;
    m_pending[record.block] = record;
    flush();
}

void PromptBlockRecords::remove(const std::string& block)
{
    m_written.erase(block);
    m_pending[block] = std::nullopt;
    flush();
}

void PromptBlockRecords::restore()
{
    for (const auto& [block, record] : m_written)
        m_pending[block] = record;
    flush();
}

// One call at a time, so that the writes for one block take effect in their order.
void PromptBlockRecords::flush()
{
    if (m_isFlushing || m_pending.empty())
        return;
    m_isFlushing = true;
    const auto [block, record] = *m_pending.begin();
    m_pending.erase(m_pending.begin());
    const auto& store = *m_context.ports.store;
    const auto now = monotonicNow();
    fetchWhole(m_context.loop, m_context.description.storeAddress, record ? store.encodePromptBlock(*record) : store.encodePromptBlockRemoval(block), now + connectTimeout, now + storeTimeout, [this, block = block, record = record](const WholeResponse& response) {
        m_context.metrics.count("store_calls_total", "prompt-block");
        m_isFlushing = false;
        if (response.isComplete() && response.status == statusOk) {
            m_context.log.write("prompt.recorded", { { "block", block }, { "rechecks", record ? std::to_string(record->rechecks) : "none" } });
            return flush();
        }
        m_context.log.write("prompt.record-failed", { { "block", block }, { "status", std::to_string(response.status) }, { "problem", exchangeEndName(response.end) } });
        m_pending.emplace(block, record); // unless there is a later one
        flushAfter(retryDelay);
    });
}

void PromptBlockRecords::flushAfter(Milliseconds delay)
{
    m_timer.expires_after(delay);
    m_timer.async_wait([this](boost::system::error_code error) {
        if (!error)
            flush();
    });
}

}
