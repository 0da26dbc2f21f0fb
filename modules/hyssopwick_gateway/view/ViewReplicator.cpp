#include "ViewReplicator.h"

namespace hyssopwick {

namespace {
    // A waiting call is answered after this time at the latest, so that a source that does not
    // answer is noticed well within the time in which a change has to take effect (2 s).
    constexpr Milliseconds storeWait { 700 };
    constexpr Milliseconds minStoreWait { 100 };
    // In addition to the wait: the longest typical round trip.
    constexpr Milliseconds storeRoundTripTime { 600 };
    constexpr Milliseconds peerRoundTripTime { 300 };
    // Once an answer has begun, only a stall or maxTransferTime ends it. Longer than two
    // retransmissions in a row, so that a source behind a full link isn't taken for unreachable.
    constexpr Milliseconds stallTimeout { 1000 };
    // A slow transfer is abandoned after this time, the longest bound on the propagation of a
    // change (8 s).
    constexpr Milliseconds maxTransferTime { 8000 };
    // Several times a configuration at the store's limit on values, encoded.
    constexpr std::uint64_t maxViewAnswerBytes = std::uint64_t(16) << 20;
    // A view is decompressed and then parsed, which takes several times its size.
    constexpr std::size_t viewMemoryDivisor = 16;
    // An answer that takes this long after the request arrives over a narrow link; the shortest bound on
    // the propagation of a change is 2 s.
    constexpr Milliseconds slowAnswerTime = ViewServer::maxWait + peerRoundTripTime + Milliseconds(200);
    // After a failure, or while sources lag, one that has news should answer at once.
    constexpr Milliseconds slowAnswerTimeInTrouble { 200 };
    constexpr Milliseconds alternativeRetryDelay { 300 };
    // An answer that goes on in place of a failed source is given up after this time.
    constexpr Milliseconds replacementTime = slowAnswerTime + alternativeRetryDelay;
    constexpr Milliseconds connectTimeout { 400 };
    // A failure that is noticed later than this after its time limit shows that this process was late.
    constexpr Milliseconds maxFailureDelay { 50 };
    constexpr Milliseconds readTimeout { 1500 };
    constexpr Milliseconds firstRetryDelay { 50 };
    constexpr Milliseconds maxRetryDelay { 1000 };
    // A source that lags answers at once, so that asking costs little.
    constexpr unsigned triesPerLagDelay = 4; // the delay doubles after so many
    constexpr unsigned maxLagDoublings = 3;
    constexpr Milliseconds minSourceLogInterval { 1000 };
    // The first failure may be that of one connection.
    constexpr unsigned failuresToLoseSource = 2;

    std::string describe(const ViewSource& source)
    {
        struct Visitor {
            std::string operator()(const StoreSource&) const { return "store"; }
            std::string operator()(const PeerSource& peer) const { return peer.id; }
        };
        return std::visit(Visitor {}, source);
    }

    // Addresses of the seeds, from which starting processes read the view; empty in a seed.
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
    , m_notifier(context, m_view)
    , m_server(context, m_view, m_notifier.publications(), { [this] { return ViewTimes { servedAge(), m_decision.confirmedAge(monotonicNow()) }; }, [this] { handleDoubt(); } })
    , m_followTimer(context.loop)
    , m_alternativeTimer(context.loop)
{
}

void ViewReplicator::start(Observer observer)
{
    m_notifier.setObserver(std::move(observer));
    follow();
}

// A source that lags is replaced without a failure, so that "view.source-lost" does not show it.
void ViewReplicator::logSource()
{
    const auto now = monotonicNow();
    const auto source = m_decision.source();
    if (!(source == m_followedSource)) {
        m_followedSource = source;
        m_context.metrics.count("view_source_changes_total", std::holds_alternative<StoreSource>(source) ? "store" : "peer");
        ++m_sourceChanges;
    }
    if (m_sourceChanges == 0 || now < m_sourceLoggedAt + minSourceLogInterval)
        return;
    m_context.log.write("view.source-changed", { { "from", describe(m_loggedSource) }, { "to", describe(source) }, { "changes", std::to_string(m_sourceChanges) }, { "failures", std::to_string(m_consecutiveFailures) }, { "age_ms", std::to_string(m_decision.age(now).count()) } });
    m_sourceLoggedAt = now;
    m_sourceChanges = 0;
    m_loggedSource = source;
}

void ViewReplicator::follow()
{
    logSource();
    struct Visitor {
        ViewReplicator& replicator;
        void operator()(const StoreSource&) const
        {
            if (replicator.m_isFullReadNeeded || replicator.m_view.revision() == 0 || replicator.m_contentCheck.isReadDue(monotonicNow()))
                replicator.continueRead(std::make_shared<StoreRead>(StoreRead { {}, { monotonicNow(), {}, {} }, {} }));
            else
                replicator.watchStore();
        }
        void operator()(const PeerSource& peer) const { replicator.followPeer(peer); }
    };
    std::visit(Visitor { *this }, m_decision.source());
}

void ViewReplicator::scheduleFollow(Milliseconds delay)
{
    m_followTimer.expires_after(delay);
    m_followTimer.async_wait([this](boost::system::error_code error) {
        if (!error)
            follow();
    });
}

// An answer that has begun beside the source that has failed goes on in its place, unless it is slow, too.
void ViewReplicator::followNext(Milliseconds delay)
{
    if (!m_alternativeExchange)
        return scheduleFollow(delay);
    m_alternativeTimer.expires_after(replacementTime);
    m_alternativeTimer.async_wait([this](boost::system::error_code error) {
        if (error || !m_alternativeExchange || m_peerExchange)
            return;
        endPeerTransfer();
        follow();
    });
}

void ViewReplicator::continueRead(const StoreReadPointer& read)
{
    struct Visitor {
        ViewReplicator& replicator;
        const StoreReadPointer& read;
        void operator()(const SnapshotRead::PageNeeded& page) const { replicator.readPage(read, page.after); }
        void operator()(const SnapshotRead::ChangesNeeded& changes) const { replicator.readMissedChanges(read, changes.revision); }
        void operator()(const SnapshotRead::Complete&) const { replicator.finishRead(*read); }
    };
    std::visit(Visitor { *this, read }, read->snapshot.next());
}

void ViewReplicator::readPage(const StoreReadPointer& read, const std::string& after)
{
    const auto now = monotonicNow();
    read->pages.connectBy = now + connectTimeout;
    read->pages.answerBy = now + readTimeout;
    fetchWhole(m_context.loop, m_context.description.storeAddress, m_context.ports.store->encodeRead(after), TransferLimits { read->pages.connectBy, read->pages.answerBy, stallTimeout, now + maxTransferTime, maxViewAnswerBytes },
        [this, read](WholeResponse response) {
            m_context.metrics.count("store_calls_total", "read");
            read->latest = read->pages = recordTransfer(StoreSource {}, read->pages, response);
            const auto era = acceptStoreAnswer("read: ", response, read->pages);
            if (!era)
                return;
            auto page = m_context.ports.store->decodeRead(response.body);
            if (!page)
                return handleFailure(StoreSource {}, page.error().message, read->pages);
            const auto added = read->snapshot.addPage(std::move(page.value()), *era);
            if (!added)
                return handleFailure(StoreSource {}, "read: " + added.error().message, read->pages);
            continueRead(read);
        });
}

// They exist, so the answer does not wait.
void ViewReplicator::readMissedChanges(const StoreReadPointer& read, std::uint64_t revision)
{
    const auto now = monotonicNow();
    const Transfer begun { now, now + connectTimeout, now + minStoreWait + storeRoundTripTime };
    fetchWhole(m_context.loop, m_context.description.storeAddress, m_context.ports.store->encodeWatch(revision, minStoreWait), TransferLimits { begun.connectBy, begun.answerBy, stallTimeout, now + maxTransferTime, maxViewAnswerBytes },
        [this, read, begun](WholeResponse response) {
            m_context.metrics.count("store_calls_total", "watch");
            read->latest = recordTransfer(StoreSource {}, begun, response);
            read->pages.bytes += response.body.size();
            // The pages took longer than the store keeps its history.
            if (response.isComplete() && m_context.ports.store->isHistoryGone(response.status))
                return handleFailure(StoreSource {}, "read: changes since the first page are gone", read->pages, FailureCause::Self);
            const auto era = acceptStoreAnswer("read: ", response, read->latest);
            if (!era)
                return;
            auto changes = m_context.ports.store->decodeWatch(response.body);
            if (!changes)
                return handleFailure(StoreSource {}, changes.error().message, read->latest);
            const auto added = read->snapshot.addChanges(std::move(changes.value()), *era);
            if (!added)
                return handleFailure(StoreSource {}, "read: " + added.error().message, read->latest);
            continueRead(read);
        });
}

// The snapshot is as current as the latest answer. What it brings may have been written before the first one.
void ViewReplicator::finishRead(StoreRead& read)
{
    m_isFullReadNeeded = false;
    const bool isChanged = apply(read.snapshot.takeSnapshot(), "store", read.pages);
    m_contentCheck.recordRead(monotonicNow());
    m_decision.confirmCurrentAt(read.latest.sentAfter);
    handleAnswer(StoreSource {}, Milliseconds(0), read.latest.beganAt, isChanged);
}

void ViewReplicator::watchStore()
{
    const auto now = monotonicNow();
    // Collecting changes is a part of the wait: followers replace a source whose view is older than one wait.
    const auto collectingSince = std::exchange(m_collectingSince, std::nullopt).value_or(now);
    const auto wait = std::max(minStoreWait, storeWait - Milliseconds(millisecondsBetween(collectingSince, now)));
    fetchWhole(m_context.loop, m_context.description.storeAddress, m_context.ports.store->encodeWatch(m_view.revision(), wait), TransferLimits { now + connectTimeout, now + wait + storeRoundTripTime, stallTimeout, now + maxTransferTime, maxViewAnswerBytes },
        [this, now, wait](WholeResponse response) {
            m_context.metrics.count("store_calls_total", "watch");
            const auto transfer = recordTransfer(StoreSource {}, { now, now + connectTimeout, now + wait + storeRoundTripTime }, response);
            if (response.isComplete() && m_context.ports.store->isHistoryGone(response.status)) {
                m_isFullReadNeeded = true;
                m_context.log.write("view.history-gone", { { "revision", std::to_string(m_view.revision()) } });
                return follow();
            }
            const auto era = acceptStoreAnswer("watch: ", response, transfer);
            if (!era)
                return;
            if (*era != m_view.position().era) {
                // The answer's changes continue a history that this view does not have.
                m_isFullReadNeeded = true;
                return scheduleFollow(firstRetryDelay);
            }
            auto page = m_context.ports.store->decodeWatch(response.body);
            if (!page)
                return handleFailure(StoreSource {}, page.error().message, transfer);
            const bool hasChanges = !page.value().records.empty();
            const bool isChanged = apply({ page.value().revision, false, std::move(page.value().records), *era }, "store", transfer);
            // An answer without changes was not sent before the wait had passed.
            const bool isWaitOver = !hasChanges && transfer.beganAt >= now + wait;
            m_decision.confirmCurrentAt(isWaitOver ? now + wait : transfer.sentAfter);
            // Each call loads the store and each update wakes all followers, so further changes are
            // collected for a while. A change that comes alone is not delayed.
            const auto delay = hasChanges ? std::min(m_context.description.changeBatchPeriod(), storeWait - minStoreWait) : Milliseconds(0);
            if (hasChanges)
                m_collectingSince = transfer.arrivedAt;
            handleAnswer(StoreSource {}, Milliseconds(0), transfer.beganAt, isChanged, delay);
        });
}

void ViewReplicator::followPeer(const PeerSource& peer)
{
    const auto now = monotonicNow();
    const bool isWholeNeeded = m_contentCheck.isReadDue(now);
    // In doubt, what differs is known.
    const auto comparedDigest = m_contentCheck.isInDoubt() ? std::optional<std::uint64_t>() : m_view.contentDigest();
    auto call = isWholeNeeded ? encodeDoubtfulViewCall(m_view.position(), m_decision.maxSourceAge()) : encodeViewCall(m_view.position(), m_decision.maxSourceAge(), comparedDigest);
    scheduleAlternative(peer, m_consecutiveFailures > 0 ? slowAnswerTimeInTrouble : slowAnswerTime);
    m_peerExchange = fetchWhole(m_context.loop, peer.address, std::move(call), TransferLimits { now + connectTimeout, now + ViewServer::maxWait + peerRoundTripTime, stallTimeout, now + maxTransferTime, maxViewAnswerBytes }, [this, peer, now, isWholeNeeded](WholeResponse response) {
        m_peerExchange.reset();
        m_alternativeTimer.cancel();
        if (m_alternativeExchange && !m_alternativeExchange->hasAnswerBegun())
            endPeerTransfer();
        auto transfer = recordTransfer(peer, { now, now + connectTimeout, now + ViewServer::maxWait + peerRoundTripTime }, response);
        if (response.isComplete() && response.status == statusUnavailable)
            return handleLag(peer);
        if (!response.isComplete() || response.status != statusOk)
            return handleIncomplete(peer, "", response, transfer);
        const auto answer = decodeView(response.fields, response.body, m_context.description.memoryBytes / viewMemoryDivisor);
        if (!answer)
            return handleFailure(peer, answer.error().message, transfer);
        if (answer.value().update.era < m_view.position().era)
            return handleLag(peer);
        endPeerTransfer();
        if (isWholeNeeded)
            m_contentCheck.recordRead(monotonicNow());
        const auto& times = answer.value().times;
        const bool isChanged = applyFromPeer(answer.value(), peer.id, transfer);
        handleAnswer(peer, times.age, transfer.beganAt, isChanged);
    });
}

void ViewReplicator::endPeerTransfer()
{
    m_alternativeTimer.cancel();
    for (auto* exchange : { &m_peerExchange, &m_alternativeExchange }) {
        if (*exchange)
            (*exchange)->cancel(); // no effect on one that has ended
        exchange->reset();
    }
}

void ViewReplicator::scheduleAlternative(const PeerSource& slow, Milliseconds delay)
{
    m_alternativeTimer.expires_after(delay);
    m_alternativeTimer.async_wait([this, slow](boost::system::error_code error) {
        if (!error && m_peerExchange)
            askAlternative(slow);
    });
}

// The slow answer goes on meanwhile: if all sources are slow, dropping it would begin it anew from zero.
void ViewReplicator::askAlternative(const PeerSource& slow)
{
    const auto peer = m_decision.alternative();
    if (!peer)
        return;
    const auto now = monotonicNow();
    m_context.metrics.count("view_slow_answers_total");
    m_context.log.write("view.source-slow", { { "source", slow.id }, { "asked", peer->id }, { "age_ms", std::to_string(m_decision.age(now).count()) } });
    auto call = encodeViewCall(m_view.position(), ViewSourceDecision::maxUsableAge());
    m_alternativeExchange = fetchWhole(m_context.loop, peer->address, std::move(call), TransferLimits { now + connectTimeout, now + ViewServer::maxWait + peerRoundTripTime, stallTimeout, now + maxTransferTime, maxViewAnswerBytes }, [this, slow, peer = *peer, now](const WholeResponse& response) { handleAlternativeAnswer(slow, peer, { now, now + connectTimeout, now + ViewServer::maxWait + peerRoundTripTime }, response); });
}

void ViewReplicator::handleAlternativeAnswer(const PeerSource& slow, const PeerSource& peer, Transfer transfer, const WholeResponse& response)
{
    m_alternativeExchange.reset();
    const bool isSourceSlow = m_peerExchange != nullptr; // otherwise it has failed meanwhile
    transfer = recordTransfer(peer, transfer, response);
    const auto answer = response.isComplete() && response.status == statusOk ? decodeView(response.fields, response.body, m_context.description.memoryBytes / viewMemoryDivisor) : Outcome<ReceivedView>(failure(ErrorCode::Unavailable, exchangeEndName(response.end)));
    const bool isUsable = answer && answer.value().update.era >= m_view.position().era && answer.value().times.age <= ViewSourceDecision::maxUsableAge();
    if (!isUsable)
        return isSourceSlow ? scheduleAlternative(slow, alternativeRetryDelay) : scheduleFollow(nextRetryDelay());
    endPeerTransfer();
    // The view is current, though not by this process's own source.
    m_consecutiveFailures = std::min(m_consecutiveFailures, failuresToLoseSource - 1);
    const bool isChanged = applyFromPeer(answer.value(), peer.id, transfer);
    m_decision.recordAnswer(peer, answer.value().times.age, transfer.beganAt);
    if (isChanged)
        m_server.answerOutdated();
    if (isSourceSlow)
        m_decision.recordLag(slow, monotonicNow());
    follow();
}

ViewReplicator::Transfer ViewReplicator::recordTransfer(const ViewSource& source, Transfer transfer, const WholeResponse& response)
{
    m_context.metrics.count("view_bytes_received_total", std::holds_alternative<StoreSource>(source) ? "store" : "peer", response.body.size());
    transfer.bytes += response.body.size();
    if (transfer.beganAt != TimePoint())
        return transfer;
    transfer.sentAfter = transfer.requestedAt;
    transfer.beganAt = transfer.arrivedAt = response.beganAt;
    // So late, the answer may have waited for this process; all that is certain is that it was
    // current after the request.
    const bool isStore = std::holds_alternative<StoreSource>(source);
    const auto expectedBy = transfer.requestedAt + (isStore ? storeWait + storeRoundTripTime : ViewServer::maxWait + peerRoundTripTime);
    if (transfer.beganAt > expectedBy)
        transfer.beganAt = transfer.requestedAt;
    return transfer;
}

void ViewReplicator::handleAnswer(const ViewSource& source, Milliseconds age, TimePoint at, bool isChanged, Milliseconds delay)
{
    const bool isTooOld = m_decision.isTooOld(age);
    if (!isTooOld)
        m_consecutiveFailures = 0;
    if (m_isSourceLost && !isTooOld) {
        m_isSourceLost = false;
        m_context.log.write("view.source-regained", { { "source", describe(source) }, { "revision", std::to_string(m_view.revision()) } });
    }
    m_decision.recordAnswer(source, age, at);
    // After recordAnswer(), since the answers contain the age of this process's view.
    if (isChanged)
        m_server.answerOutdated();
    if (isTooOld)
        scheduleFollow(nextLagDelay());
    else if (!(source == m_decision.source()))
        scheduleFollow(firstRetryDelay);
    else if (delay.count() > 0)
        scheduleFollow(delay);
    else
        follow();
}

std::optional<std::uint64_t> ViewReplicator::acceptStoreAnswer(const char* call, const WholeResponse& response, const Transfer& transfer)
{
    if (!response.isComplete() || response.status != statusOk) {
        handleIncomplete(StoreSource {}, call, response, transfer);
        return std::nullopt;
    }
    const auto known = m_view.position().era;
    const auto era = m_context.ports.store->decodeEra(response.fields).value_or(known);
    if (era >= known)
        return era;
    handleFailure(StoreSource {}, call + std::string("of an earlier era"), transfer);
    return std::nullopt;
}

void ViewReplicator::handleIncomplete(const ViewSource& source, const char* call, const WholeResponse& response, const Transfer& transfer)
{
    const auto failsBy = response.end == ExchangeEnd::NotSent ? transfer.connectBy : transfer.answerBy;
    const bool isLate = !response.isComplete() && monotonicNow() > failsBy + maxFailureDelay;
    const bool isOverLimit = response.isComplete() && response.status == statusTooManyRequests;
    handleFailure(source, call + std::string(exchangeEndName(response.end)) + " status " + std::to_string(response.status), transfer, isLate || isOverLimit ? FailureCause::Self : FailureCause::Source);
}

void ViewReplicator::handleFailure(const ViewSource& source, const std::string& problem, const Transfer& transfer, FailureCause cause)
{
    const auto now = monotonicNow();
    m_decision.recordFailure(source, now, cause);
    m_context.metrics.count("view_source_failures_total", std::holds_alternative<StoreSource>(source) ? "store" : "peer");
    if (!m_isSourceLost) {
        m_isSourceLost = true;
        m_context.log.write("view.source-lost", { { "source", describe(source) }, { "problem", problem }, { "next", describe(m_decision.source()) }, { "age_ms", std::to_string(m_decision.age(now).count()) }, { "bytes", std::to_string(transfer.bytes) }, { "after_ms", std::to_string(std::chrono::duration_cast<Milliseconds>(now - transfer.requestedAt).count()) } });
    }
    followNext(nextRetryDelay());
    if (m_consecutiveFailures == failuresToLoseSource)
        m_server.answerAll();
}

// The source answers but has not read the store yet.
void ViewReplicator::handleLag(const ViewSource& source)
{
    m_decision.recordLag(source, monotonicNow());
    followNext(nextLagDelay());
    if (m_consecutiveFailures == failuresToLoseSource)
        m_server.answerAll();
}

// Peers need not wait for the age of this view to exceed the limit: it will.
Milliseconds ViewReplicator::servedAge() const
{
    return m_consecutiveFailures < failuresToLoseSource ? age() : std::max(age(), ViewSourceDecision::minStaleAge());
}

Milliseconds ViewReplicator::nextLagDelay()
{
    return firstRetryDelay * (1 << std::min(m_consecutiveFailures++ / triesPerLagDelay, maxLagDoublings));
}

Milliseconds ViewReplicator::nextRetryDelay()
{
    const auto delay = std::min(maxRetryDelay, firstRetryDelay * (1 << std::min(m_consecutiveFailures, 5u)));
    ++m_consecutiveFailures;
    return delay;
}

bool ViewReplicator::apply(const ViewUpdate& update, const std::string& from, const Transfer& transfer)
{
    const auto ageBefore = age(); // the caller records the answer after this
    const auto before = m_view.position();
    const auto changed = m_view.apply(update);
    if (m_view.position() != before || !update.records.empty())
        m_server.clearEncodings();
    const bool isNewEra = m_view.position().era != before.era;
    if (isNewEra) {
        m_context.log.write("store.era-changed", { { "from", std::to_string(before.era) }, { "to", std::to_string(update.era) }, { "revision_before", std::to_string(before.revision) }, { "revision", std::to_string(update.revision) }, { "changed", std::to_string(changed.size()) } });
        m_context.metrics.count("store_era_changes_total");
        m_notifier.notifyEra(update.era, transfer.arrivedAt);
    }
    const auto source = isNewEra && before.revision != 0 ? RegistrationSource::RestoredCopy : RegistrationSource::Owner;
    if (!m_notifier.notifyChanges(changed, { source, transfer.arrivedAt, transfer.sentAfter, publicationFrom(transfer), transfer.versionAges, transfer.estimatedAges }))
        return isNewEra;
    m_context.log.write("view.changed", { { "source", from }, { "revision", std::to_string(m_view.revision()) }, { "records", std::to_string(changed.size()) }, { "whole", update.isSnapshot ? "true" : "false" }, { "bytes", std::to_string(transfer.bytes) }, { "age_ms", std::to_string(ageBefore.count()) }, { "content", contentDigestText(m_view.contentDigest()) } });
    m_notifier.notifyBatchEnd();
    return true;
}

// A peer reports a version's maximum age, which stays right however late its answer is read.
// Without that, the version is no older than the last time the view was known to be current.
Publication ViewReplicator::publicationFrom(const Transfer& transfer) const
{
    const auto basis = m_decision.isAfterOutage(transfer.sentAfter) ? PublicationBasis::Estimated : PublicationBasis::Measured;
    return { m_decision.earliestChangeTime(transfer.sentAfter), m_decision.hasAnswer() ? basis : PublicationBasis::FoundAtStart };
}

// A follower found a difference. The source is asked at once, not after the wait for a change.
void ViewReplicator::handleDoubt()
{
    m_context.metrics.count("view_content_differences_total", "follower");
    m_contentCheck.recordDifference();
    if (!m_peerExchange || m_peerExchange->hasAnswerBegun() || !m_contentCheck.isReadDue(monotonicNow()))
        return;
    endPeerTransfer();
    scheduleFollow(Milliseconds(0));
}

bool ViewReplicator::applyFromPeer(const ReceivedView& view, const std::string& peer, Transfer transfer)
{
    // The request cannot have arrived before it was sent.
    transfer.sentAfter = std::min(transfer.requestedAt + view.times.held, transfer.arrivedAt);
    transfer.versionAges = view.versionAges;
    transfer.estimatedAges = view.estimatedAges;
    const bool isChanged = apply(view.update, peer, transfer);
    m_decision.confirmCurrentAt(transfer.sentAfter - view.times.confirmedAge);
    compareContent(view, peer);
    return isChanged;
}

// Views at the same position have the same content, unless one of them has lost a change or a deletion.
void ViewReplicator::compareContent(const ReceivedView& view, const std::string& peer)
{
    const auto own = m_view.contentDigest();
    if (!view.contentDigest || *view.contentDigest == own || view.update.position() != m_view.position())
        return;
    m_context.metrics.count("view_content_differences_total", "source");
    if (!m_contentCheck.isInDoubt())
        m_context.log.write("view.content-differs", { { "source", peer }, { "revision", std::to_string(m_view.revision()) }, { "content", contentDigestText(own) }, { "source_content", contentDigestText(*view.contentDigest) } });
    m_contentCheck.recordDifference();
}

}
