#include "RecordNotifier.h"

namespace hyssopwick {

RecordNotifier::RecordNotifier(GatewayContext& context, const StoreView& view)
    : m_context(context)
    , m_view(view)
    , m_restorationTimer(context.loop)
{
}

void RecordNotifier::notifyEra(std::uint64_t era, TimePoint arrivedAt)
{
    m_restored.recordReturn(arrivedAt);
    ViewObserver::notify(m_observer.onEra, era);
}

bool RecordNotifier::notifyChanges(const std::vector<StoreRecord>& changed, const UpdateOrigin& origin)
{
    const bool isRestored = origin.source == RegistrationSource::RestoredCopy;
    for (const auto& record : changed) {
        if (isRestored && record.isDeleted) {
            m_restored.recordMissing(record.key, origin.arrivedAt);
            continue;
        }
        m_restored.recordPresent(record.key);
        notify(record, origin);
    }
    if (isRestored)
        expireRestoration();
    // After the configuration, by which agents tell which versions concern them.
    const bool hasNewVersions = recordReportedVersions(origin);
    return !changed.empty() || hasNewVersions;
}

// A version whose age the source reports is recorded by recordReportedVersions().
void RecordNotifier::recordPublication(const WeightsVersion& version, const UpdateOrigin& origin)
{
    if (origin.versionAges.count(version) > 0 || origin.estimatedAges.count(version) > 0)
        return;
    addPublication(version, origin.publication);
}

bool RecordNotifier::addPublication(const WeightsVersion& version, const Publication& publication)
{
    const auto before = m_publications.find(version);
    const auto known = m_publications.record(version, publication);
    if (before && before->earliest <= known.earliest)
        return false;
    ViewObserver::notify(m_observer.onVersion, version, known.earliest);
    return true;
}

// Those that a later version replaced have no record, but a bound.
bool RecordNotifier::recordReportedVersions(const UpdateOrigin& origin)
{
    bool hasNews = false;
    for (const auto& [version, age] : origin.versionAges)
        hasNews = addPublication(version, { origin.sentAfter - age, PublicationBasis::Measured }) || hasNews;
    for (const auto& [version, age] : origin.estimatedAges)
        hasNews = addPublication(version, { origin.sentAfter - age, PublicationBasis::Estimated }) || hasNews;
    return hasNews;
}

// Removes the records whose owners did not write them again after the store's return.
void RecordNotifier::expireRestoration()
{
    const auto expired = m_restored.expire(monotonicNow());
    for (const auto& key : expired)
        notifyRemoval(key, RegistrationEnd::NotRestored);
    if (!expired.empty()) {
        m_context.log.write("store.records-not-restored", { { "records", std::to_string(expired.size()) }, { "revision", std::to_string(m_view.revision()) } });
        notifyBatchEnd();
    }
    const auto next = m_restored.nextExpiry();
    if (!next)
        return;
    m_restorationTimer.expires_at(*next);
    m_restorationTimer.async_wait([this](boost::system::error_code error) {
        if (!error)
            expireRestoration();
    });
}

void RecordNotifier::notifyRemoval(const std::string& key, RegistrationEnd end) const
{
    const auto [kind, id] = m_context.ports.store->decodeKey(key);
    if (kind == StoreRecordKind::Upstream)
        ViewObserver::notify(m_observer.onUpstreamGone, id, end);
    if (kind == StoreRecordKind::Node)
        ViewObserver::notify(m_observer.onNodeGone, id);
    // A record that an older copy of the store lacks is written again by the process that wrote it.
    if (kind == StoreRecordKind::PromptBlock && end == RegistrationEnd::Ended)
        ViewObserver::notify(m_observer.onPromptBlockGone, id);
    if (kind == StoreRecordKind::Evacuation)
        ViewObserver::notify(m_observer.onEvacuationEnd, Evacuation { id });
}

void RecordNotifier::notify(const StoreRecord& record, const UpdateOrigin& origin)
{
    if (record.isDeleted)
        return notifyRemoval(record.key, RegistrationEnd::Ended);
    const auto [kind, id] = m_context.ports.store->decodeKey(record.key);
    struct Visitor {
        RecordNotifier& notifier;
        const StoreRecord& record;
        const UpdateOrigin& origin;
        StoreRecordKind kind;
        const std::string& id;

        void operator()(const IrrelevantRecord&) const { }
        void operator()(const UnreadableRecord& unreadable) const
        {
            notifier.m_context.metrics.count("store_records_skipped_total");
            notifier.m_context.log.write("view.record-skipped", { { "key", record.key }, { "problem", unreadable.problem }, { "revision", std::to_string(record.revision) } });
            if (kind == StoreRecordKind::Upstream)
                ViewObserver::notify(notifier.m_observer.onUpstreamGone, id, RegistrationEnd::Unreadable);
        }
        void operator()(const DeploymentConfiguration& configuration) const { ViewObserver::notify(notifier.m_observer.onConfiguration, configuration); }
        void operator()(const Upstream& upstream) const { ViewObserver::notify(notifier.m_observer.onUpstream, upstream, origin.source); }
        void operator()(const WeightsVersion& version) const { notifier.recordPublication(version, origin); }
        void operator()(const PromptBlockRecord& block) const { ViewObserver::notify(notifier.m_observer.onPromptBlock, block); }
        void operator()(const Evacuation& evacuation) const { ViewObserver::notify(notifier.m_observer.onEvacuation, evacuation); }
        void operator()(const RegisteredNode& node) const { ViewObserver::notify(notifier.m_observer.onNode, node); }
    };
    std::visit(Visitor { *this, record, origin, kind, id }, m_context.ports.store->decodeRecord(record));
}

}
