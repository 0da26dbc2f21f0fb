#include "ViewReplicator.h"

namespace hyssopwick {

namespace {
    // A waiting call is answered after this time at the latest, so that a source that does not
    // answer is noticed well within the time in which a change has to take effect (2 s).
    constexpr Milliseconds storeWait { 700 };
    constexpr Milliseconds minStoreWait { 100 };
    constexpr Milliseconds peerWait { 500 };
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
    // An answer that takes this long after the request arrives over a narrow link; the shortest bound on
    // the propagation of a change is 2 s.
    constexpr Milliseconds slowAnswerTime = peerWait + peerRoundTripTime + Milliseconds(200);
    // After a failure, or while sources lag, one that has news should answer at once.
    constexpr Milliseconds slowAnswerTimeInTrouble { 200 };
    constexpr Milliseconds alternativeRetryDelay { 300 };
    // An answer that goes on in place of a failed source is given up after this time.
    constexpr Milliseconds replacementTime = slowAnswerTime + alternativeRetryDelay;
    constexpr Milliseconds connectTimeout { 400 };
    // Age at which processes of a build that does not tell it replace their source.
    constexpr Milliseconds defaultMaxAge { 900 };
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

    const char* answerKind(const EncodedView& encoded)
    {
        if (encoded.isSnapshot)
            return "whole";
        return encoded.isEmpty ? "empty" : "changes";
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
    , m_followTimer(context.loop)
    , m_peerTimer(context.loop)
    , m_alternativeTimer(context.loop)
    , m_restorationTimer(context.loop)
{
}

void ViewReplicator::start(Observer observer)
{
    m_observer = std::move(observer);
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
        void operator()(const ViewUpdate& snapshot) const { replicator.finishRead(*read, snapshot); }
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
void ViewReplicator::finishRead(const StoreRead& read, const ViewUpdate& snapshot)
{
    m_isFullReadNeeded = false;
    const bool isChanged = apply(snapshot, "store", read.pages);
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
    m_peerExchange = fetchWhole(m_context.loop, peer.address, std::move(call), TransferLimits { now + connectTimeout, now + peerWait + peerRoundTripTime, stallTimeout, now + maxTransferTime, maxViewAnswerBytes }, [this, peer, now, isWholeNeeded](WholeResponse response) {
        m_peerExchange.reset();
        m_alternativeTimer.cancel();
        if (m_alternativeExchange && !m_alternativeExchange->hasAnswerBegun())
            endPeerTransfer();
        auto transfer = recordTransfer(peer, { now, now + connectTimeout, now + peerWait + peerRoundTripTime }, response);
        if (response.isComplete() && response.status == statusUnavailable)
            return handleLag(peer);
        if (!response.isComplete() || response.status != statusOk)
            return handleIncomplete(peer, "", response, transfer);
        const auto answer = decodeView(response.fields, response.body);
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
    m_alternativeExchange = fetchWhole(m_context.loop, peer->address, std::move(call), TransferLimits { now + connectTimeout, now + peerWait + peerRoundTripTime, stallTimeout, now + maxTransferTime, maxViewAnswerBytes }, [this, slow, peer = *peer, now](const WholeResponse& response) { handleAlternativeAnswer(slow, peer, { now, now + connectTimeout, now + peerWait + peerRoundTripTime }, response); });
}

void ViewReplicator::handleAlternativeAnswer(const PeerSource& slow, const PeerSource& peer, Transfer transfer, const WholeResponse& response)
{
    m_alternativeExchange.reset();
    const bool isSourceSlow = m_peerExchange != nullptr; // otherwise it has failed meanwhile
    transfer = recordTransfer(peer, transfer, response);
    const auto answer = response.isComplete() && response.status == statusOk ? decodeView(response.fields, response.body) : Outcome<ReceivedView>(failure(ErrorCode::Unavailable, exchangeEndName(response.end)));
    const bool isUsable = answer && answer.value().update.era >= m_view.position().era && answer.value().times.age <= ViewSourceDecision::maxUsableAge();
    if (!isUsable)
        return isSourceSlow ? scheduleAlternative(slow, alternativeRetryDelay) : scheduleFollow(nextRetryDelay());
    endPeerTransfer();
    // The view is current, though not by this process's own source.
    m_consecutiveFailures = std::min(m_consecutiveFailures, failuresToLoseSource - 1);
    const bool isChanged = applyFromPeer(answer.value(), peer.id, transfer);
    m_decision.recordAnswer(peer, answer.value().times.age, transfer.beganAt);
    if (isChanged)
        answerWaitingPeers();
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
    const auto expectedBy = transfer.requestedAt + (isStore ? storeWait + storeRoundTripTime : peerWait + peerRoundTripTime);
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
        answerWaitingPeers();
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
        answerAllWaitingPeers();
}

// The source answers but has not read the store yet.
void ViewReplicator::handleLag(const ViewSource& source)
{
    m_decision.recordLag(source, monotonicNow());
    followNext(nextLagDelay());
    if (m_consecutiveFailures == failuresToLoseSource)
        answerAllWaitingPeers();
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
        m_encoded.clear();
    const bool isNewEra = m_view.position().era != before.era;
    const bool isRestored = isNewEra && before.revision != 0;
    if (isNewEra) {
        m_context.log.write("store.era-changed", { { "from", std::to_string(before.era) }, { "to", std::to_string(update.era) }, { "revision_before", std::to_string(before.revision) }, { "revision", std::to_string(update.revision) }, { "changed", std::to_string(changed.size()) } });
        m_context.metrics.count("store_era_changes_total");
        m_restored.recordReturn(transfer.arrivedAt);
        ViewObserver::notify(m_observer.onEra, update.era);
    }
    for (const auto& record : changed) {
        if (isRestored && record.isDeleted) {
            m_restored.recordMissing(record.key, transfer.arrivedAt);
            continue;
        }
        m_restored.recordPresent(record.key);
        notifyObserver(record, transfer, isRestored ? RegistrationSource::RestoredCopy : RegistrationSource::Owner);
    }
    if (isRestored)
        expireRestoration();
    // After the configuration, by which agents tell which versions concern them.
    const bool hasNewVersions = recordReportedVersions(transfer);
    if (changed.empty() && !hasNewVersions)
        return isNewEra;
    m_context.log.write("view.changed", { { "source", from }, { "revision", std::to_string(m_view.revision()) }, { "records", std::to_string(changed.size()) }, { "whole", update.isSnapshot ? "true" : "false" }, { "bytes", std::to_string(transfer.bytes) }, { "age_ms", std::to_string(ageBefore.count()) }, { "content", contentDigestText(m_view.contentDigest()) } });
    ViewObserver::notify(m_observer.onBatchEnd);
    return true;
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

// A peer reports the version's maximum age, which stays right however late its answer is read.
// Without that, the version is no older than the last time the view was known to be current.
void ViewReplicator::recordPublication(const WeightsVersion& version, const Transfer& transfer)
{
    if (transfer.versionAges.count(version) > 0 || transfer.estimatedAges.count(version) > 0)
        return; // see recordReportedVersions()
    const auto basis = m_decision.isAfterOutage(transfer.sentAfter) ? PublicationBasis::Estimated : PublicationBasis::Measured;
    addPublication(version, { m_decision.earliestChangeTime(transfer.sentAfter), m_decision.hasAnswer() ? basis : PublicationBasis::FoundAtStart });
}

bool ViewReplicator::addPublication(const WeightsVersion& version, const Publication& publication)
{
    const auto before = m_publications.find(version);
    const auto known = m_publications.record(version, publication);
    if (before && before->earliest <= known.earliest)
        return false;
    if (m_observer.onVersion)
        m_observer.onVersion(version, known.earliest);
    return true;
}

// Those that a later version replaced have no record, but a bound.
bool ViewReplicator::recordReportedVersions(const Transfer& transfer)
{
    bool hasNews = false;
    for (const auto& [version, age] : transfer.versionAges)
        hasNews = addPublication(version, { transfer.sentAfter - age, PublicationBasis::Measured }) || hasNews;
    for (const auto& [version, age] : transfer.estimatedAges)
        hasNews = addPublication(version, { transfer.sentAfter - age, PublicationBasis::Estimated }) || hasNews;
    return hasNews;
}

// Removes the records whose owners did not write them again after the store's return.
void ViewReplicator::expireRestoration()
{
    const auto expired = m_restored.expire(monotonicNow());
    for (const auto& key : expired)
        notifyRemoval(key, RegistrationEnd::NotRestored);
    if (!expired.empty()) {
        m_context.log.write("store.records-not-restored", { { "records", std::to_string(expired.size()) }, { "revision", std::to_string(m_view.revision()) } });
        ViewObserver::notify(m_observer.onBatchEnd);
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

void ViewReplicator::notifyRemoval(const std::string& key, RegistrationEnd end)
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

void ViewReplicator::notifyObserver(const StoreRecord& record, const Transfer& transfer, RegistrationSource source)
{
    if (record.isDeleted)
        return notifyRemoval(record.key, RegistrationEnd::Ended);
    const auto [kind, id] = m_context.ports.store->decodeKey(record.key);
    struct Visitor {
        ViewReplicator& replicator;
        const ViewObserver& observer;
        const StoreRecord& record;
        const Transfer& transfer;
        RegistrationSource source;
        StoreRecordKind kind;
        const std::string& id;

        void operator()(const IrrelevantRecord&) const { }
        void operator()(const UnreadableRecord& unreadable) const
        {
            replicator.m_context.metrics.count("store_records_skipped_total");
            replicator.m_context.log.write("view.record-skipped", { { "key", record.key }, { "problem", unreadable.problem }, { "revision", std::to_string(record.revision) } });
            if (kind == StoreRecordKind::Upstream)
                ViewObserver::notify(observer.onUpstreamGone, id, RegistrationEnd::Unreadable);
        }
        void operator()(const DeploymentConfiguration& configuration) const { ViewObserver::notify(observer.onConfiguration, configuration); }
        void operator()(const Upstream& upstream) const { ViewObserver::notify(observer.onUpstream, upstream, source); }
        void operator()(const WeightsVersion& version) const { replicator.recordPublication(version, transfer); }
        void operator()(const PromptBlockRecord& block) const { ViewObserver::notify(observer.onPromptBlock, block); }
        void operator()(const Evacuation& evacuation) const { ViewObserver::notify(observer.onEvacuation, evacuation); }
        void operator()(const RegisteredNode& node) const { ViewObserver::notify(observer.onNode, node); }
    };
    std::visit(Visitor { *this, m_observer, record, transfer, source, kind, id }, m_context.ports.store->decodeRecord(record));
}

bool ViewReplicator::serve(const ServerExchangePointer& exchange)
{
    const auto& target = exchange->request().target;
    if (!isViewTarget(target))
        return false;
    const auto known = decodeViewTarget(target);
    if (!known) {
        exchange->respond(statusBadRequest, {}, "malformed position\n");
        return true;
    }
    if (m_view.revision() == 0) {
        exchange->respond(statusUnavailable, {}, "the store was not read yet\n");
        return true;
    }
    if (known->era > m_view.position().era) {
        exchange->respond(statusUnavailable, {}, "this view is of an earlier era\n");
        return true;
    }
    const auto& fields = exchange->request().fields;
    if (isViewInDoubt(fields))
        handleDoubt();
    const auto now = monotonicNow();
    const WaitingPeer peer { exchange, *known, now, now + peerWait, m_view.contentDigest() };
    // If this process's own source lags, it answers at once, so that the peer can choose another.
    const auto maxAge = decodeMaxAge(fields).value_or(defaultMaxAge);
    const auto isDifferent = *known == m_view.position() && decodeContentDigest(fields).value_or(peer.contentDigest) != peer.contentDigest;
    if (*known < m_view.position() || isDifferent || servedAge() > maxAge) {
        answerPeer(peer);
        return true;
    }
    m_waitingPeers.push_back(peer);
    exchange->onCallerLeft([this, raw = exchange.get()] { m_waitingPeers.remove_if([raw](const WaitingPeer& waiting) { return waiting.exchange.get() == raw; }); });
    if (m_waitingPeers.size() == 1)
        expireWaitingPeers();
    return true;
}

void ViewReplicator::answerPeer(const WaitingPeer& peer)
{
    const auto encoded = m_encoded.updateSince(m_view, peer.known);
    m_context.metrics.count("view_answers_total", answerKind(*encoded));
    m_context.metrics.count("view_bytes_sent_total", "", encoded->body.size());
    const auto now = monotonicNow();
    const ViewTimes times { servedAge(), m_decision.confirmedAge(now), Milliseconds(millisecondsBetween(peer.receivedAt, now)) };
    peer.exchange->respond(statusOk, encoded->fields(times, m_publications.ages(PublicationBasis::Measured, now), m_publications.ages(PublicationBasis::Estimated, now)), encoded->body);
}

void ViewReplicator::answerWaitingPeers()
{
    for (auto peer = m_waitingPeers.begin(); peer != m_waitingPeers.end();) {
        if (!(peer->known < m_view.position()) && peer->contentDigest == m_view.contentDigest()) {
            ++peer;
            continue;
        }
        const auto ready = *peer;
        peer = m_waitingPeers.erase(peer);
        answerPeer(ready);
    }
}

void ViewReplicator::answerAllWaitingPeers()
{
    const auto waiting = std::move(m_waitingPeers);
    m_waitingPeers.clear();
    for (const auto& peer : waiting)
        answerPeer(peer);
}

void ViewReplicator::expireWaitingPeers()
{
    const auto now = monotonicNow();
    while (!m_waitingPeers.empty() && m_waitingPeers.front().deadline <= now) {
        const auto peer = m_waitingPeers.front();
        m_waitingPeers.pop_front();
        answerPeer(peer);
    }
    if (m_waitingPeers.empty())
        return;
    m_peerTimer.expires_at(m_waitingPeers.front().deadline);
    m_peerTimer.async_wait([this](boost::system::error_code error) {
        if (!error)
            expireWaitingPeers();
    });
}

}
