#include "HeadWatcher.h"

namespace hyssopwick {

namespace {
    constexpr std::size_t watchersPerRegion = 2;
    constexpr Milliseconds watchTimeout { 4000 };
    constexpr Milliseconds nonWatcherPeriod { 300 };
    constexpr Milliseconds retryDelay { 400 };
    constexpr unsigned maxRetryDoublings = 4; // 6.4 s
    constexpr Milliseconds vmListPeriod { 3000 };
}

HeadWatcher::HeadWatcher(NodeContext& context, SharedMemberTable& members, ActiveConfiguration& configuration, KeyValueLimiter& keyValue)
    : m_context(context)
    , m_members(members)
    , m_configuration(configuration)
    , m_keyValue(keyValue)
    , m_vmList(context.client, context.settings.vmListAddress)
    , m_random(stableHash(context.settings.vm.id) ^ context.incarnation())
{
}

HeadWatcher::~HeadWatcher() { stop(); }

void HeadWatcher::start()
{
    m_thread = std::thread([this] { run(); });
}

void HeadWatcher::stop()
{
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_isStopping = true;
    }
    m_wake.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

bool HeadWatcher::isWatcher()
{
    const auto& self = m_context.settings.vm;
    const auto ids = m_members.with([&](const MemberTable& table) {
        std::vector<std::string> inRegion;
        for (const auto& id : table.liveEntries(false)) {
            if (table.find(id)->vm.region == self.region)
                inRegion.push_back(id);
        }
        return inRegion;
    });
    const auto order = rendezvousOrder("watcher/" + self.region, ids);
    for (std::size_t i = 0; i < order.size() && i < watchersPerRegion; ++i) {
        if (order[i] == self.id)
            return true;
    }
    return false;
}

void HeadWatcher::run()
{
    bool wasHeadRead = false;
    readVmList();
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_isStopping) {
        lock.unlock();
        Milliseconds delay = nonWatcherPeriod;
        if (!wasHeadRead) {
            if (m_members.entries(true).empty())
                readVmList();
            wasHeadRead = readHead();
            delay = wasHeadRead ? Milliseconds(0) : nextRetryDelay();
        } else if (isWatcher()) {
            if (monotonicNow() > m_vmListReadAt + vmListPeriod)
                readVmList();
            const auto watchedAt = monotonicNow();
            const auto watched = m_keyValue.watch(headKey, m_headKeyRevision, watchedAt + watchTimeout, KeyValuePriority::Head);
            bool isRead = watched.has_value();
            if (watched && watched.value().revision > m_headKeyRevision)
                isRead = adopt(watched.value(), watchedAt);
            else if (watched) // not sent before the wait was over
                m_configuration.confirmCurrentAt(m_configuration.revision(), std::min(monotonicNow(), watchedAt + watchTimeout));
            delay = isRead ? Milliseconds(0) : nextRetryDelay();
        } else if (m_members.entries(true).empty()) {
            readVmList();
        }
        lock.lock();
        m_wake.wait_for(lock, delay, [this] { return m_isStopping; });
    }
}

bool HeadWatcher::readHead()
{
    const auto readAt = monotonicNow();
    const auto read = m_keyValue.read(headKey, KeyValuePriority::Head);
    if (!read)
        return false;
    if (read.value().revision == 0) {
        m_configuration.recordHeadRevision(0);
        return true;
    }
    return adopt(read.value(), readAt);
}

Milliseconds HeadWatcher::nextRetryDelay()
{
    const auto delay = retryDelay * (1 << std::min(m_failedReads, maxRetryDoublings));
    return delay + Milliseconds(m_random.below(static_cast<std::uint64_t>(retryDelay.count())));
}

bool HeadWatcher::adopt(const KeyValue& stored, TimePoint currentAt)
{
    const auto head = headFromText(stored.value);
    if (!head)
        m_context.metrics.count("head_failures_total", "malformed");
    if (!head || !readBundle(head.value())) {
        ++m_failedReads;
        return false;
    }
    m_configuration.confirmCurrentAt(head.value().revision, currentAt);
    m_headKeyRevision = stored.revision;
    m_failedReads = 0;
    return true;
}

// Returns whether the head's configuration is active, or cannot be with this program.
bool HeadWatcher::readBundle(const Head& head)
{
    m_configuration.recordHeadRevision(head.revision);
    if (head.revision <= m_configuration.revision())
        return true;
    if (head.schema > newestRecordSchema) {
        m_configuration.offer(head, nullptr);
        return true;
    }
    std::string text;
    for (std::int64_t part = 0; part < head.parts; ++part) {
        const auto read = m_keyValue.read(bundlePartKey(head.bundle, part), KeyValuePriority::Head);
        if (!read || read.value().revision == 0) {
            m_context.metrics.count("head_failures_total", read ? "part-missing" : errorCodeName(read.error().code));
            return false;
        }
        text += read.value().value;
    }
    const auto bundle = Bundle::parse(text);
    if (!bundle) {
        m_context.metrics.count("head_failures_total", "bundle");
        m_context.log.write("config.unreadable", { { "revision", std::to_string(head.revision) }, { "detail", bundle.error().message } });
        return false;
    }
    return m_configuration.offer(head, std::make_shared<const Bundle>(bundle.value())) != AdoptionResult::DigestDiffers;
}

void HeadWatcher::readVmList()
{
    m_vmListReadAt = monotonicNow();
    const auto listed = m_vmList.read();
    if (listed)
        m_members.mergeListed(listed.value());
    else
        m_context.metrics.count("vm_list_failures_total", errorCodeName(listed.error().code));
}

}
