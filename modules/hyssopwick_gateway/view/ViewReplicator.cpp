#include "ViewReplicator.h"

namespace hyssopwick {

namespace {
    // A waiting call is answered after this time at the latest, so that a silent
    // source shows well within the time in which a change must be in force (2 s).
    constexpr Milliseconds storeWait { 1000 };
    constexpr Milliseconds peerWait { 500 };
    // On top of the wait: the longest ordinary way there and back.
    constexpr Milliseconds answerSlack { 600 };
    constexpr Milliseconds peerAnswerSlack { 300 };
    // Once an answer has begun, only a pause ends it: longer than two retransmissions in
    // a row, so that a full link is not taken for a source that is away.
    constexpr Milliseconds longestPause { 1000 };
    // A source that trickles is left after this time: the longest bound on a change's way
    // (8 s) has passed.
    constexpr Milliseconds longestTransfer { 8000 };
    constexpr Milliseconds connectTimeout { 400 };
    constexpr Milliseconds readTimeout { 1500 };
    constexpr Milliseconds firstRetryPause { 50 };
    constexpr Milliseconds longestRetryPause { 1000 };
    constexpr std::string_view viewPath = "/view?after=";
    // Versions whose naming is passed on; bounds of earlier ones have passed.
    constexpr std::size_t maxVersionsTold = 8;

    std::string describe(const ViewSource& source)
    {
        struct Visitor {
            std::string operator()(const StoreSource&) const { return "store"; }
            std::string operator()(const PeerSource& peer) const { return peer.id; }
        };
        return std::visit(Visitor {}, source);
    }

    const char* answerKind(const EncodedView& encoded)
    {
        if (encoded.isSnapshot)
            return "whole";
        return encoded.isEmpty ? "empty" : "changes";
    }

    // Addresses of the processes that read the store for those that start; none for these.
    std::vector<std::string> seedsOf(const GatewayContext& context)
    {
        std::vector<std::string> seeds;
        for (const auto& ip : context.description.seedIps) {
            if (ip == context.description.ip)
                return {};
            seeds.push_back(ip + ":" + std::to_string(context.description.internalPort));
        }
        return seeds;
    }
}

ViewReplicator::ViewReplicator(GatewayContext& context, VmIdentity self, bool isEntry)
    : m_context(context)
    , m_decision(std::move(self), isEntry, seedsOf(context))
    , m_followTimer(context.loop)
    , m_peerTimer(context.loop)
{
}

void ViewReplicator::start(Observer observer)
{
    m_observer = std::move(observer);
    follow();
}

void ViewReplicator::follow()
{
    struct Visitor {
        ViewReplicator& keeper;
        void operator()(const StoreSource&) const
        {
            if (keeper.m_isRereadNeeded || keeper.m_view.revision() == 0)
                keeper.readStore("", std::make_shared<ViewUpdate>(), { monotonicNow() });
            else
                keeper.watchStore();
        }
        void operator()(const PeerSource& peer) const { keeper.followPeer(peer); }
    };
    std::visit(Visitor { *this }, m_decision.source());
}

void ViewReplicator::followLater(Milliseconds pause)
{
    m_followTimer.expires_after(pause);
    m_followTimer.async_wait([this](boost::system::error_code error) {
        if (!error)
            follow();
    });
}

void ViewReplicator::readStore(const std::string& after, std::shared_ptr<ViewUpdate> collected, Transfer before)
{
    const auto now = monotonicNow();
    fetchWhole(m_context.loop, m_context.description.storeAddress, m_context.ports.store->encodeRead(after), { now + connectTimeout, now + readTimeout, longestPause, now + longestTransfer },
        [this, after, collected, before](WholeResponse response) {
            m_context.metrics.count("store_calls_total", "read");
            const auto transfer = received(StoreSource {}, before, response);
            if (!response.isComplete() || response.status != statusOk)
                return failed(StoreSource {}, "read: " + std::string(exchangeEndName(response.end)) + " status " + std::to_string(response.status), transfer);
            auto page = m_context.ports.store->decodeRead(response.body);
            if (!page)
                return failed(StoreSource {}, page.error().message, transfer);
            // Pages are read one after another; what changed meanwhile follows from a
            // watch that starts at the first page's revision.
            if (after.empty())
                collected->revision = page.value().revision;
            auto& records = page.value().records;
            collected->records.insert(collected->records.end(), std::make_move_iterator(records.begin()), std::make_move_iterator(records.end()));
            if (page.value().hasMore && !collected->records.empty())
                return readStore(collected->records.back().key, collected, transfer);
            collected->isSnapshot = true;
            m_isRereadNeeded = false;
            const bool isChanged = take(*collected, "store", transfer);
            answered(StoreSource {}, Milliseconds(0), transfer.beganAt, isChanged);
        });
}

void ViewReplicator::watchStore()
{
    const auto now = monotonicNow();
    fetchWhole(m_context.loop, m_context.description.storeAddress, m_context.ports.store->encodeWatch(m_view.revision(), storeWait), { now + connectTimeout, now + storeWait + answerSlack, longestPause, now + longestTransfer },
        [this, now](WholeResponse response) {
            m_context.metrics.count("store_calls_total", "watch");
            const auto transfer = received(StoreSource {}, { now }, response);
            if (response.isComplete() && m_context.ports.store->isHistoryGone(response.status)) {
                m_isRereadNeeded = true;
                m_context.log.write("view.history-gone", { { "revision", std::to_string(m_view.revision()) } });
                return follow();
            }
            if (!response.isComplete() || response.status != statusOk)
                return failed(StoreSource {}, "watch: " + std::string(exchangeEndName(response.end)) + " status " + std::to_string(response.status), transfer);
            auto page = m_context.ports.store->decodeWatch(response.body);
            if (!page)
                return failed(StoreSource {}, page.error().message, transfer);
            const bool isNews = !page.value().records.empty();
            const bool isChanged = take({ page.value().revision, false, std::move(page.value().records) }, "store", transfer);
            // Each call to the store has its price and each update wakes all followers. A
            // change that comes alone is not delayed.
            answered(StoreSource {}, Milliseconds(0), transfer.beganAt, isChanged, isNews ? m_context.description.changeBatchPeriod() : Milliseconds(0));
        });
}

void ViewReplicator::followPeer(const PeerSource& peer)
{
    const auto now = monotonicNow();
    HttpCall call;
    call.target = std::string(viewPath) + std::to_string(m_view.revision());
    fetchWhole(m_context.loop, peer.address, std::move(call), { now + connectTimeout, now + peerWait + peerAnswerSlack, longestPause, now + longestTransfer }, [this, peer, now](WholeResponse response) {
        auto transfer = received(peer, { now }, response);
        if (response.isComplete() && response.status == statusUnavailable)
            return lagging(peer);
        if (!response.isComplete() || response.status != statusOk)
            return failed(peer, std::string(exchangeEndName(response.end)) + " status " + std::to_string(response.status), transfer);
        const auto answer = decodeView(response.fields, response.body);
        if (!answer)
            return failed(peer, answer.error().message, transfer);
        transfer.versionAges = answer.value().versionAges;
        const bool isChanged = take(answer.value().update, peer.id, transfer);
        answered(peer, answer.value().age, transfer.beganAt, isChanged);
    });
}

ViewReplicator::Transfer ViewReplicator::received(const ViewSource& source, Transfer transfer, const WholeResponse& response)
{
    m_context.metrics.count("view_bytes_received_total", std::holds_alternative<StoreSource>(source) ? "store" : "peer", response.body.size());
    if (transfer.beganAt == TimePoint())
        transfer.beganAt = response.beganAt;
    transfer.bytes += response.body.size();
    return transfer;
}

void ViewReplicator::answered(const ViewSource& source, Milliseconds age, TimePoint at, bool isChanged, Milliseconds pause)
{
    const bool isLagging = ViewSourceDecision::isTooOld(age);
    if (!isLagging)
        m_failuresInRow = 0;
    if (m_isSourceLost && !isLagging) {
        m_isSourceLost = false;
        m_context.log.write("view.source-regained", { { "source", describe(source) }, { "revision", std::to_string(m_view.revision()) } });
    }
    m_decision.recordAnswer(source, age, at);
    // Only now, since the answers say how old this process's knowledge is.
    if (isChanged)
        answerWaitingPeers();
    if (isLagging)
        followLater(nextRetryPause());
    else if (!(source == m_decision.source()))
        followLater(firstRetryPause);
    else if (pause.count() > 0)
        followLater(pause);
    else
        follow();
}

void ViewReplicator::failed(const ViewSource& source, const std::string& problem, const Transfer& transfer)
{
    const auto now = monotonicNow();
    m_decision.recordFailure(source, now);
    m_context.metrics.count("view_source_failures_total", std::holds_alternative<StoreSource>(source) ? "store" : "peer");
    if (!m_isSourceLost) {
        m_isSourceLost = true;
        m_context.log.write("view.source-lost", { { "source", describe(source) }, { "problem", problem }, { "next", describe(m_decision.source()) }, { "age_ms", std::to_string(m_decision.age(now).count()) }, { "bytes", std::to_string(transfer.bytes) }, { "after_ms", std::to_string(std::chrono::duration_cast<Milliseconds>(now - transfer.requestedAt).count()) } });
    }
    followLater(nextRetryPause());
}

// A source that answers and has not read the store yet.
void ViewReplicator::lagging(const ViewSource& source)
{
    m_decision.recordLag(source, monotonicNow());
    followLater(nextRetryPause());
}

Milliseconds ViewReplicator::nextRetryPause()
{
    const auto pause = std::min(longestRetryPause, firstRetryPause * (1 << std::min(m_failuresInRow, 5u)));
    ++m_failuresInRow;
    return pause;
}

bool ViewReplicator::take(const ViewUpdate& update, const std::string& from, const Transfer& transfer)
{
    const auto ageBefore = age(); // the caller records the answer after this
    const auto revisionBefore = m_view.revision();
    const auto changed = m_view.apply(update);
    if (m_view.revision() != revisionBefore || !update.records.empty())
        m_encoded.clear();
    for (const auto& record : changed)
        observe(record, transfer);
    if (changed.empty())
        return false;
    m_context.log.write("view.changed", { { "source", from }, { "revision", std::to_string(m_view.revision()) }, { "records", std::to_string(changed.size()) }, { "whole", update.isSnapshot ? "true" : "false" }, { "bytes", std::to_string(transfer.bytes) }, { "age_ms", std::to_string(ageBefore.count()) } });
    if (m_observer.onBatchEnd)
        m_observer.onBatchEnd();
    return true;
}

// A peer knows since when a version may have been named, however late it tells.
TimePoint ViewReplicator::recordNaming(std::uint64_t revision, const Transfer& transfer)
{
    const auto told = transfer.versionAges.find(revision);
    const auto namedAfter = told != transfer.versionAges.end() ? transfer.beganAt - told->second : m_decision.earliestChangeTime(transfer.beganAt) - m_context.description.changeBatchPeriod();
    m_versionsNamedAfter[revision] = namedAfter;
    if (m_versionsNamedAfter.size() > maxVersionsTold)
        m_versionsNamedAfter.erase(m_versionsNamedAfter.begin());
    return namedAfter;
}

VersionAges ViewReplicator::versionAges() const
{
    const auto now = monotonicNow();
    VersionAges ages;
    for (const auto& [revision, namedAfter] : m_versionsNamedAfter)
        ages[revision] = Milliseconds(std::max<std::int64_t>(0, millisecondsBetween(namedAfter, now)));
    return ages;
}

void ViewReplicator::observe(const StoreRecord& record, const Transfer& transfer)
{
    const auto [subject, id] = m_context.ports.store->decodeKey(record.key);
    if (record.isDeleted) {
        if (subject == StoreRecordKind::Upstream && m_observer.onUpstreamGone)
            m_observer.onUpstreamGone(id, true);
        if (subject == StoreRecordKind::Node && m_observer.onNodeGone)
            m_observer.onNodeGone(id);
        return;
    }
    struct Visitor {
        ViewReplicator& keeper;
        const StoreRecord& record;
        const Transfer& transfer;
        StoreRecordKind subject;
        const std::string& id;

        void operator()(const IrrelevantRecord&) const { }
        void operator()(const UnreadableRecord& unreadable) const
        {
            keeper.m_context.metrics.count("store_records_skipped_total");
            keeper.m_context.log.write("view.record-skipped", { { "key", record.key }, { "problem", unreadable.problem }, { "revision", std::to_string(record.revision) } });
            if (subject == StoreRecordKind::Upstream && keeper.m_observer.onUpstreamGone)
                keeper.m_observer.onUpstreamGone(id, false);
        }
        void operator()(const DeploymentConfiguration& configuration) const
        {
            if (keeper.m_observer.onConfiguration)
                keeper.m_observer.onConfiguration(configuration);
        }
        void operator()(const Upstream& upstream) const
        {
            if (keeper.m_observer.onUpstream)
                keeper.m_observer.onUpstream(upstream);
        }
        void operator()(const WeightsVersion& version) const
        {
            if (keeper.m_observer.onVersion)
                keeper.m_observer.onVersion(version, keeper.recordNaming(record.revision, transfer));
        }
        void operator()(const RegisteredNode& node) const
        {
            if (keeper.m_observer.onNode)
                keeper.m_observer.onNode(node);
        }
    };
    std::visit(Visitor { *this, record, transfer, subject, id }, m_context.ports.store->decodeRecord(record));
}

bool ViewReplicator::serve(const ServerExchangePointer& exchange)
{
    const auto& target = exchange->request().target;
    if (target.compare(0, viewPath.size(), viewPath) != 0)
        return false;
    const auto number = target.substr(viewPath.size());
    if (number.empty() || number.find_first_not_of("0123456789") != std::string::npos || number.size() > 18) {
        exchange->respond(statusBadRequest, {}, "malformed revision\n");
        return true;
    }
    const std::uint64_t known = std::stoull(number);
    if (m_view.revision() == 0) {
        exchange->respond(statusUnavailable, {}, "the store was not read yet\n");
        return true;
    }
    const WaitingPeer peer { exchange, known, monotonicNow() + peerWait };
    // One whose own source lags says so at once, so that it is left for a better one.
    if (known < m_view.revision() || ViewSourceDecision::isTooOld(age())) {
        answerPeer(peer);
        return true;
    }
    m_waiting.push_back(peer);
    exchange->onCallerLeft([this, raw = exchange.get()] { m_waiting.remove_if([raw](const WaitingPeer& waiting) { return waiting.exchange.get() == raw; }); });
    if (m_waiting.size() == 1)
        expireWaitingPeers();
    return true;
}

void ViewReplicator::answerPeer(const WaitingPeer& peer)
{
    const auto encoded = m_encoded.updateSince(m_view, peer.known);
    m_context.metrics.count("view_answers_total", answerKind(*encoded));
    m_context.metrics.count("view_bytes_sent_total", "", encoded->body.size());
    peer.exchange->respond(statusOk, encoded->fields(age(), versionAges()), encoded->body);
}

void ViewReplicator::answerWaitingPeers()
{
    for (auto peer = m_waiting.begin(); peer != m_waiting.end();) {
        if (peer->known >= m_view.revision()) {
            ++peer;
            continue;
        }
        const auto ready = *peer;
        peer = m_waiting.erase(peer);
        answerPeer(ready);
    }
}

void ViewReplicator::expireWaitingPeers()
{
    const auto now = monotonicNow();
    while (!m_waiting.empty() && m_waiting.front().deadline <= now) {
        const auto peer = m_waiting.front();
        m_waiting.pop_front();
        answerPeer(peer);
    }
    if (m_waiting.empty())
        return;
    m_peerTimer.expires_at(m_waiting.front().deadline);
    m_peerTimer.async_wait([this](boost::system::error_code error) {
        if (!error)
            expireWaitingPeers();
    });
}

}
