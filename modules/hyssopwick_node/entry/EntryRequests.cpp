#include "EntryRequests.h"

#include "../agent/UpstreamProxy.h"
#include "TokenStream.h"

namespace hyssopwick {

namespace {

    constexpr Milliseconds sweepPeriod { 25 };
    constexpr Milliseconds limitsPeriod { 250 };
    constexpr Milliseconds noUpstreamDelay { 60 };
    constexpr Milliseconds busyDelay { 15 };
    constexpr Milliseconds defaultRetryAfter { 500 };
    // After it an accepted configuration is in force everywhere.
    constexpr Milliseconds configurationBound { 8000 };
    constexpr Milliseconds maxWaitForUpstream { 3000 };
    constexpr Milliseconds maxLoadAge { 15'000 };
    constexpr double selectionDecay = 0.995; // per limitsPeriod
    constexpr std::int64_t minCapacity = 2;
    constexpr int statusOk = 200;
    constexpr int statusMultipleChoices = 300;

    Milliseconds remaining(TimePoint deadline) { return Milliseconds(std::max<std::int64_t>(0, millisecondsBetween(monotonicNow(), deadline))); }

    Refusal leavingRefusal() { return { RefusalReason::EntryLeaving, RunState::NotRun, Milliseconds(0), "this entry VM is leaving", {} }; }

    Refusal refusalOf(const Refusal& parsed, Milliseconds configurationAge)
    {
        if (refusalByConfiguration(parsed.reason, configurationAge, configurationBound) == parsed.reason)
            return parsed;
        return { RefusalReason::ConfigurationOutdated, RunState::NotRun, defaultRetryAfter, "a newer configuration, not known here yet, may allow the request", {} };
    }

    std::string headerOf(const HttpClientResponse& response, const char* name)
    {
        const auto found = response.headers.find(name);
        return found == response.headers.end() ? "" : found->second;
    }

    std::int64_t inFlightOf(const Outcome<HttpClientResponse>& answer)
    {
        if (!answer)
            return -1;
        const auto text = headerOf(answer.value(), proxyHeader::inFlight);
        return text.empty() ? -1 : std::atoll(text.c_str());
    }

}

EntryRequests::EntryRequests(NodeContext& context, SharedMemberTable& members, ActiveConfiguration& configuration, UpstreamTable& upstreams, ClaimWriter& claims)
    : m_context(context)
    , m_members(members)
    , m_configuration(configuration)
    , m_upstreams(upstreams)
    , m_claims(claims)
    , m_random(stableHash(context.settings.vm.id) ^ context.incarnation())
    , m_shares(context.settings.vm.id, RateLimitSplitPolicy::ByDemand)
    , m_demandTakenAt(monotonicNow())
{
}

void EntryRequests::start()
{
    m_context.scheduler.every(sweepPeriod, [this] { sweep(); });
    m_context.scheduler.every(limitsPeriod, [this] { refreshLimits(); });
}

void EntryRequests::beginStop(const PlannedStop& stop)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_stop = stop;
}

void EntryRequests::abort()
{
    m_isAborting = true;
    std::vector<RequestFlowPointer> queued;
    std::vector<HttpClient::TransferId> transfers;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        const auto now = monotonicNow();
        for (auto flow = m_flows.begin(); flow != m_flows.end();) {
            const auto& pointer = flow->second;
            if (const auto transfer = pointer->transfer.load())
                transfers.push_back(transfer);
            const bool wasQueued = admissionFor(pointer->query.workerKind, now).withdraw(pointer->id);
            if (wasQueued)
                queued.push_back(pointer);
            flow = wasQueued ? m_flows.erase(flow) : std::next(flow);
        }
    }
    for (const auto transfer : transfers)
        m_context.client.cancel(transfer);
    for (const auto& flow : queued)
        refuse(flow, leavingRefusal());
}

std::size_t EntryRequests::inProgress() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_flows.size();
}

AdmissionDecision& EntryRequests::admissionFor(const std::string& workerKind, TimePoint now)
{
    return m_admissions.try_emplace(workerKind, minCapacity, now).first->second;
}

// Sets capacities from the reports of upstreams, and account limits from the demand at all
// entry VMs.
void EntryRequests::refreshLimits()
{
    const auto bundle = m_configuration.current().bundle;
    const auto entries = m_members.with([](const MemberTable& table) { return table.liveEntries(false); });
    std::vector<std::string> kinds;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        for (const auto& [kind, admission] : m_admissions)
            kinds.push_back(kind);
    }
    std::map<std::string, UpstreamCapacity> capacities;
    for (const auto& kind : kinds)
        capacities[kind] = m_upstreams.capacityOf(kind);
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto now = monotonicNow();
    const double seconds = std::max(0.001, std::chrono::duration<double>(now - m_demandTakenAt).count());
    m_demandTakenAt = now;
    for (auto& [entry, selections] : m_recentSelections)
        selections *= selectionDecay;
    std::map<std::string, double> demand;
    for (auto& [kind, admission] : m_admissions) {
        admission.setCapacity(m_concurrency[kind].adapt(capacities[kind].evenShare, capacities[kind].total, admission.queued()));
        for (const auto& [account, count] : admission.takeDemand())
            demand[account] += static_cast<double>(count) / seconds;
    }
    constexpr double smoothing = 0.2;
    for (const auto& account : bundle->all<AccountRecord>()) {
        auto& smoothed = m_demand[account.name];
        smoothed += smoothing * (demand[account.name] - smoothed);
    }
    m_shares.recordDemand(m_context.settings.vm.id, m_demand, now);
    m_shares.updateTotals(entries, now);
    for (const auto& account : bundle->all<AccountRecord>()) {
        const AccountLimits limits { static_cast<double>(account.weight),
            static_cast<double>(account.requestsPerSecond) * m_shares.share(account.name) };
        for (auto& [kind, admission] : m_admissions)
            admission.setLimits(account.name, limits, now);
    }
}

void EntryRequests::handle(HttpRequest request, HttpResponderPointer responder)
{
    const auto now = monotonicNow();
    const auto configuration = m_configuration.current();
    auto result = RequestParser::parse(request, *configuration.bundle, now, unixNow());
    std::optional<Refusal> refusal;
    if (!m_configuration.mayServe(m_members.entryDomains()))
        refusal = Refusal { RefusalReason::NotReady, RunState::NotRun, defaultRetryAfter, "no configuration is in force here yet", {} };
    else if (auto* parsed = std::get_if<Refusal>(&result))
        refusal = refusalOf(*parsed, m_configuration.age());
    auto flow = refusal ? std::make_shared<RequestFlow>() : std::get<RequestFlowPointer>(result);
    flow->responder = std::move(responder);
    flow->receivedAt = now;
    if (flow->requestId.empty())
        flow->requestId = request.header("x-request-id").empty() ? m_context.uniqueId() : request.header("x-request-id");
    m_context.log.write("request.received", { { "request", flow->requestId }, { "account", flow->account }, { "path", request.path }, { "identity", flow->identity ? flow->identity->digest().shortHex() : "" } });
    if (refusal) {
        refuse(flow, *refusal);
        return;
    }
    const auto verdict = m_upstreams.verdict(flow->digest);
    if (verdict == CrashVerdict::Refuse) {
        refuse(flow, { RefusalReason::CrashSuspected, RunState::NotRun, Milliseconds(0), "this request has stopped upstreams before", {} });
        return;
    }
    enqueue(flow);
}

void EntryRequests::enqueue(const RequestFlowPointer& flow)
{
    std::optional<Refusal> refusal;
    AdmissionChanges changes;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        const auto now = monotonicNow();
        flow->id = m_nextId++;
        // Decided under the lock of inProgress(), so that none is accepted after a stop has seen none.
        if (m_stop && !m_stop->accepts(flow->deadline, now)) {
            refusal = leavingRefusal();
        } else {
            auto& admission = admissionFor(flow->query.workerKind, now);
            refusal = admission.enqueue({ flow->id, flow->account, flow->priority, flow->deadline }, now);
            if (!refusal)
                m_flows[flow->id] = flow;
            changes = admission.advance(now);
        }
    }
    if (refusal)
        refuse(flow, *refusal);
    dispatch(changes);
}

void EntryRequests::dispatch(const AdmissionChanges& changes)
{
    std::vector<RequestFlowPointer> admitted;
    std::vector<std::pair<RequestFlowPointer, Refusal>> refused;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        for (const auto id : changes.admitted)
            admitted.push_back(m_flows.at(id));
        for (const auto& [id, refusal] : changes.refused) {
            refused.emplace_back(m_flows.at(id), refusal);
            m_flows.erase(id);
        }
    }
    for (const auto& [flow, refusal] : refused)
        refuse(flow, refusal);
    for (const auto& flow : admitted)
        startAdmitted(flow);
}

void EntryRequests::startAdmitted(const RequestFlowPointer& flow)
{
    flow->admittedAt = monotonicNow();
    m_context.metrics.observe("queue_wait", static_cast<double>(millisecondsBetween(flow->receivedAt, flow->admittedAt)));
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_retryBudget.recordFirstAttempt();
    }
    if (flow->identity)
        claim(flow);
    else
        startAttempt(flow);
}

void EntryRequests::claim(const RequestFlowPointer& flow)
{
    flow->holder = m_context.uniqueId();
    const auto body = Digest::of(flow->path + "\n" + flow->body.dump());
    const ClaimRequest operation { flow->identity->digest(), flow->holder, body };
    m_claims.submit(*flow->identity, operation, [this, flow](Outcome<ClaimResult> result) {
        if (!result) {
            refuseFinally(flow, { RefusalReason::ClaimUnavailable, RunState::NotRun, defaultRetryAfter, result.error().message, {} });
            return;
        }
        const auto identity = flow->identity->digest().shortHex();
        switch (result.value().answer) {
        case ClaimAnswer::Granted:
            flow->isClaimed = true;
            m_context.log.write("claim.granted", { { "request", flow->requestId }, { "identity", identity }, { "holder", flow->holder } });
            startAttempt(flow);
            return;
        case ClaimAnswer::OutcomeKnown:
            answer(flow, result.value().outcome->status, result.value().outcome->body, true);
            return;
        case ClaimAnswer::BodyDiffers:
            refuseFinally(flow, { RefusalReason::IdempotencyKeyReused, RunState::NotRun, Milliseconds(0), "the key was used with another method or body", {} });
            return;
        case ClaimAnswer::HeldByOther:
            refuseFinally(flow, { RefusalReason::OutcomeUnknown, RunState::Unknown, defaultRetryAfter, "another attempt of this call is in progress or its outcome is not known", {} });
            return;
        case ClaimAnswer::BucketFull:
        case ClaimAnswer::Refused:
            refuseFinally(flow, { RefusalReason::ClaimUnavailable, RunState::NotRun, defaultRetryAfter, "no claim could be made", {} });
            return;
        }
    });
}

void EntryRequests::startAttempt(const RequestFlowPointer& flow)
{
    const auto now = monotonicNow();
    if (flow->hasCallerLeft || !flow->responder->isConnected()) {
        refuseFinally(flow, { RefusalReason::DeadlinePassed, RunState::NotRun, Milliseconds(0), "the caller left", {} });
        return;
    }
    if (now >= flow->deadline) {
        refuseFinally(flow, { RefusalReason::DeadlinePassed, RunState::NotRun, Milliseconds(0), "the deadline passed", {} });
        return;
    }
    if (m_isAborting) {
        refuseFinally(flow, leavingRefusal());
        return;
    }
    const auto verdict = m_upstreams.verdict(flow->digest);
    if (verdict == CrashVerdict::Refuse) {
        refuseFinally(flow, { RefusalReason::CrashSuspected, RunState::NotRun, Milliseconds(0), "this request has stopped upstreams before", {} });
        return;
    }
    flow->mustRunAlone = verdict == CrashVerdict::RunAlone;
    auto route = m_upstreams.choose(flow->query, flow->digest);
    if (!route && !flow->query.excluded.empty()) {
        flow->query.excluded.clear();
        route = m_upstreams.choose(flow->query, flow->digest);
    }
    if (!route) {
        const auto detail = flow->query.placement.empty() ? "no upstream of this service is reachable" : "no upstream serves this model now";
        waitForUpstream(flow, { RefusalReason::NoUpstream, RunState::NotRun, defaultRetryAfter, detail, {} }, noUpstreamDelay);
        return;
    }
    send(flow, *route);
}

// Retries after a jittered delay, for at most maxWaitForUpstream, so that the caller is refused
// early and not at its deadline.
void EntryRequests::waitForUpstream(const RequestFlowPointer& flow, const Refusal& refusal, Milliseconds delay)
{
    const auto now = monotonicNow();
    const auto waitUntil = std::min(flow->deadline, flow->admittedAt + maxWaitForUpstream);
    if (now + delay >= waitUntil) {
        refuseFinally(flow, refusal);
        return;
    }
    m_context.metrics.count("waits_total", refusalReasonName(refusal.reason));
    std::uint64_t jitter = 0;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        jitter = m_random.below(static_cast<std::uint64_t>(delay.count()) + 1);
    }
    m_context.scheduler.at(now + delay / 2 + Milliseconds(jitter), [this, flow] { startAttempt(flow); });
}

void EntryRequests::send(const RequestFlowPointer& flow, const Route& route)
{
    ++flow->attemptCount;
    flow->upstreamVm = route.vm;
    flow->attemptId = m_context.uniqueId();
    flow->query.pinnedVersion = route.version;
    flow->partialEvent.clear();
    flow->isStreamDone = false;
    flow->isStreamBroken = false;
    flow->unusedBytes = 0;
    flow->repeatedTokens = 0;
    flow->exceededLimit = nullptr;
    if (flow->acceptedTokens > 0)
        flow->body["resume_from"] = flow->acceptedTokens;
    m_context.log.write("request.attempt", { { "request", flow->requestId }, { "attempt", flow->attemptId }, { "vm", route.vm }, { "version", route.version }, { "resume_from", std::to_string(flow->acceptedTokens) } });
    auto request = m_context.rpc.signedPost(route.address, "/door" + flow->path, flow->body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), flow->deadline);
    request.headers.emplace_back(proxyHeader::attempt, flow->attemptId);
    request.headers.emplace_back(proxyHeader::request, flow->requestId);
    request.headers.emplace_back(proxyHeader::placement, flow->query.placement);
    request.headers.emplace_back(proxyHeader::version, route.version);
    request.headers.emplace_back(proxyHeader::deadline, std::to_string(remaining(flow->deadline).count()));
    if (flow->mustRunAlone)
        request.headers.emplace_back(proxyHeader::alone, "1");
    if (flow->identity) {
        request.headers.emplace_back(proxyHeader::identity, flow->identity->digest().hex());
        request.headers.emplace_back(proxyHeader::holder, flow->holder);
        request.freshConnection = true;
    }
    const auto onData = [this, flow](const HttpClientResponse& head, std::string_view data) {
        if (headerOf(head, proxyHeader::attempt) != flow->attemptId) {
            flow->isStreamBroken = true;
            return false;
        }
        const bool isAccepted = TokenStream::receive(*flow, data);
        if (!isAccepted && flow->exceededLimit)
            m_context.metrics.count("stream_cuts_total", flow->exceededLimit);
        if (flow->responder->isUnread())
            m_context.metrics.count("stream_cuts_total", "unread");
        return isAccepted;
    };
    flow->transfer = m_context.client.start(
        std::move(request), [this, flow](Outcome<HttpClientResponse> answer) { receive(flow, std::move(answer)); },
        flow->query.placement.empty() ? HttpClient::DataHandler() : onData);
}

void EntryRequests::receive(const RequestFlowPointer& flow, Outcome<HttpClientResponse> answered)
{
    flow->transfer = 0;
    m_upstreams.recordFinished(flow->upstreamVm, flow->digest, inFlightOf(answered));
    const bool wasBusy = answered && headerOf(answered.value(), proxyHeader::reason) == refusalReasonName(RefusalReason::UpstreamBusy);
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_concurrency[flow->query.workerKind].recordAnswer(wasBusy);
    }
    if (!answered) {
        const bool wasNotSent = answered.error().code == ErrorCode::Unavailable;
        // An aborted attempt is no failure of the upstream.
        if (m_isAborting) {
            flow->mayHaveRun = flow->mayHaveRun || !wasNotSent;
            refuseFinally(flow, leavingRefusal());
            return;
        }
        const bool mayHaveCrashed = !wasNotSent && !flow->hasCallerLeft && flow->responder->isConnected() && answered.error().code != ErrorCode::Timeout;
        // The caller's deadline is no failure of the upstream.
        if (answered.error().code == ErrorCode::Timeout && monotonicNow() >= flow->deadline) {
            flow->mayHaveRun = true;
            refuseFinally(flow, { RefusalReason::DeadlinePassed, RunState::Unknown, Milliseconds(0), "the deadline passed while the request ran", {} });
            return;
        }
        if (!flow->hasCallerLeft && flow->responder->isConnected())
            m_upstreams.recordFailure(flow->upstreamVm, flow->digest, flow->mustRunAlone, mayHaveCrashed);
        retryOrRefuse(flow, wasNotSent ? AttemptFailure::NotSent : flow->acceptedTokens > 0 ? AttemptFailure::StreamBroken
                                                                                            : AttemptFailure::Lost);
        return;
    }
    auto& response = answered.value();
    const bool answersThisAttempt = headerOf(response, proxyHeader::attempt) == flow->attemptId;
    if (!answersThisAttempt)
        m_context.metrics.count("crossed_answers_total");
    const auto runState = headerOf(response, proxyHeader::run);
    const auto reason = headerOf(response, proxyHeader::reason);
    if (answersThisAttempt && runState == runStateName(RunState::NotRun)) {
        if (reason == refusalReasonName(RefusalReason::UpstreamLeaving))
            m_upstreams.recordLeaving(flow->upstreamVm);
        if (reason == refusalReasonName(RefusalReason::UpstreamBusy) || reason == refusalReasonName(RefusalReason::UpstreamLeaving)) {
            // A busy or leaving upstream did no work, so another try costs no retry budget.
            flow->query.excluded.insert(flow->upstreamVm);
            ++flow->busyAnswers;
            m_context.metrics.count("retries_total", reason);
            waitForUpstream(flow, { RefusalReason::UpstreamBusy, RunState::NotRun, defaultRetryAfter, "all upstreams are busy", {} }, busyDelay * std::min(flow->busyAnswers, 8u));
            return;
        }
        m_upstreams.recordFailure(flow->upstreamVm, flow->digest, flow->mustRunAlone, false);
        retryOrRefuse(flow, AttemptFailure::Refused);
        return;
    }
    const bool isModel = !flow->query.placement.empty();
    const bool isComplete = answersThisAttempt && runState.empty() && (!isModel || (response.status == statusOk && flow->isStreamDone && !flow->isStreamBroken));
    if (isComplete) {
        m_upstreams.recordSuccess(flow->digest);
        answer(flow, response.status, isModel ? "" : std::move(response.body), false);
        return;
    }
    m_upstreams.recordFailure(flow->upstreamVm, flow->digest, flow->mustRunAlone, true);
    retryOrRefuse(flow, flow->acceptedTokens > 0 ? AttemptFailure::StreamBroken : AttemptFailure::Lost);
}

void EntryRequests::retryOrRefuse(const RequestFlowPointer& flow, AttemptFailure failure)
{
    if (flow->hasCallerLeft || !flow->responder->isConnected()) {
        m_context.metrics.count("cancelled_total");
        m_context.log.write("request.cancelled", { { "request", flow->requestId }, { "delivered", std::to_string(flow->acceptedTokens) } });
        end(flow);
        return;
    }
    flow->mayHaveRun = flow->mayHaveRun || failure == AttemptFailure::Lost || failure == AttemptFailure::StreamBroken;
    RetryVerdict verdict;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        verdict = decideRetry(failure, flow->isIdempotent, flow->attemptCount, flow->deadline, m_retryBudget, m_random, monotonicNow());
    }
    if (!verdict.isRetry) {
        refuseFinally(flow, verdict.refusal);
        return;
    }
    m_context.metrics.count("retries_total", attemptFailureName(failure));
    flow->query.excluded.insert(flow->upstreamVm);
    m_context.scheduler.at(verdict.notBefore, [this, flow] { startAttempt(flow); });
}

// Refuses with the run state that follows from all attempts together. If the call was not run,
// releases the claim first, so that the caller may repeat it.
void EntryRequests::refuseFinally(const RequestFlowPointer& flow, Refusal refusal)
{
    if (flow->acceptedTokens > 0)
        refusal.runState = RunState::Partial;
    else if (flow->mayHaveRun && refusal.runState == RunState::NotRun)
        refusal.runState = RunState::Unknown;
    if (!flow->isClaimed || refusal.runState != RunState::NotRun) {
        refuse(flow, refusal);
        end(flow);
        return;
    }
    flow->isClaimed = false;
    m_claims.submit(*flow->identity, ClaimRelease { flow->identity->digest(), flow->holder }, [this, flow, refusal](const Outcome<ClaimResult>& result) {
        m_context.log.write("claim.released", { { "request", flow->requestId }, { "identity", flow->identity->digest().shortHex() }, { "known", result ? "yes" : "no" } });
        refuse(flow, refusal);
        end(flow);
    });
}

void EntryRequests::refuse(const RequestFlowPointer& flow, const Refusal& refusal)
{
    const auto* reason = refusalReasonName(refusal.reason);
    m_context.metrics.count("refusals_total", reason);
    m_context.log.write("request.refused", { { "request", flow->requestId }, { "reason", reason }, { "run", runStateName(refusal.runState) }, { "attempts", std::to_string(flow->attemptCount) }, { "identity", flow->identity ? flow->identity->digest().shortHex() : "" } });
    nlohmann::json error { { "reason", reason }, { "run", runStateName(refusal.runState) }, { "detail", refusal.detail } };
    if (refusal.retryAfter > Milliseconds(0))
        error["retry_after_ms"] = refusal.retryAfter.count();
    if (refusal.reason == RefusalReason::EntryLeaving) {
        for (const auto& entry : chooseAddresses(3))
            error["alternatives"].push_back(entry.address);
    }
    const auto text = nlohmann::json { { "error", error } }.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (flow->isStreamStarted) {
        flow->responder->write("event: error\ndata: " + text + "\n\n");
        flow->responder->finish();
        return;
    }
    HttpHeaders headers { { "Content-Type", "application/json" }, { "X-Request-Id", flow->requestId } };
    if (refusal.retryAfter > Milliseconds(0))
        headers["Retry-After"] = std::to_string((refusal.retryAfter.count() + 999) / 1000);
    flow->responder->send(refusalStatus(refusal.reason), text, headers);
}

void EntryRequests::answer(const RequestFlowPointer& flow, int status, std::string body, bool isReplay)
{
    const auto tookMs = millisecondsBetween(flow->receivedAt, monotonicNow());
    m_context.metrics.observe("request", static_cast<double>(tookMs));
    m_context.metrics.count("answers_total", isReplay ? "replayed" : flow->query.placement.empty() ? "service"
                                                                                                   : "model");
    m_context.log.write("request.answered", { { "request", flow->requestId }, { "attempt", flow->attemptId }, { "status", std::to_string(status) }, { "version", flow->query.pinnedVersion }, { "tokens", std::to_string(flow->acceptedTokens) }, { "replayed", isReplay ? "yes" : "no" }, { "identity", flow->identity ? flow->identity->digest().shortHex() : "" }, { "took_ms", std::to_string(tookMs) } });
    if (flow->isStreamStarted) {
        flow->responder->write("data: [DONE]\n\n");
        flow->responder->finish();
    } else {
        HttpHeaders headers { { "Content-Type", "application/json" }, { "X-Request-Id", flow->requestId } };
        if (!flow->query.placement.empty()) {
            body = nlohmann::json { { "model", flow->query.placement }, { "version", flow->query.pinnedVersion }, { "text", flow->collectedText }, { "tokens", flow->acceptedTokens } }.dump();
            headers["X-Model-Version"] = flow->query.pinnedVersion;
        }
        if (isReplay)
            headers["X-Replayed"] = "1";
        flow->responder->send(status, body, headers);
    }
    if (flow->isClaimed && !isReplay) {
        flow->isClaimed = false;
        const bool isSuccess = status >= statusOk && status < statusMultipleChoices;
        m_context.metrics.count("claimed_calls_total", isSuccess ? "success" : "service-error");
        m_claims.submit(*flow->identity, ClaimCompletion { flow->identity->digest(), flow->holder, { status, body } }, [](const Outcome<ClaimResult>&) {});
    }
    end(flow);
}

void EntryRequests::end(const RequestFlowPointer& flow)
{
    AdmissionChanges changes;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        if (m_flows.erase(flow->id) == 0)
            return;
        const auto now = monotonicNow();
        auto& admission = admissionFor(flow->query.workerKind, now);
        admission.release(flow->account, Milliseconds(millisecondsBetween(flow->admittedAt, now)), now);
        changes = admission.advance(now);
    }
    dispatch(changes);
}

// Withdraws queued requests and cancels idempotent attempts whose caller has left, and refuses
// queued requests that cannot meet their deadline.
void EntryRequests::sweep()
{
    std::vector<HttpClient::TransferId> cancelled;
    std::vector<AdmissionChanges> allChanges;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        const auto now = monotonicNow();
        for (auto flow = m_flows.begin(); flow != m_flows.end();) {
            const auto& pointer = flow->second;
            if (pointer->responder->isConnected()) {
                ++flow;
                continue;
            }
            const auto transfer = pointer->transfer.load();
            // A non-idempotent call is not cancelled, so that its outcome is stored.
            if (transfer != 0 && pointer->isIdempotent)
                cancelled.push_back(transfer);
            const bool wasQueued = admissionFor(pointer->query.workerKind, now).withdraw(pointer->id);
            if (wasQueued)
                m_context.metrics.count("cancelled_total");
            flow = wasQueued ? m_flows.erase(flow) : std::next(flow);
        }
        for (auto& [kind, admission] : m_admissions)
            allChanges.push_back(admission.advance(now));
    }
    for (const auto transfer : cancelled)
        m_context.client.cancel(transfer);
    for (const auto& changes : allChanges)
        dispatch(changes);
}

EntryLoad EntryRequests::load()
{
    EntryLoad load;
    load.refusedRequests = m_upstreams.refusedRequests();
    std::lock_guard<std::mutex> lock(m_mutex);
    load.requestsInProgress = static_cast<double>(m_flows.size());
    load.demand = m_demand;
    return load;
}

void EntryRequests::recordLoad(const std::string& entry, const EntryLoad& load)
{
    m_upstreams.mergeRefused(load.refusedRequests);
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto now = monotonicNow();
    m_otherEntries[entry] = { load, now };
    m_shares.recordDemand(entry, load.demand, now);
}

std::vector<VmIdentity> EntryRequests::chooseAddresses(std::size_t count)
{
    const auto bundle = m_configuration.current().bundle;
    const auto members = m_members.with([](const MemberTable& table) { return table.live(); });
    std::vector<EntryCandidate> candidates;
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto now = monotonicNow();
    for (const auto& member : members) {
        if (member.vm.kind != "entry" || member.state == MemberState::Suspect)
            continue;
        EntryCandidate candidate { member.vm, member.state == MemberState::Leaving || bundle->isLeaving(member.vm.id), 0 };
        const auto other = m_otherEntries.find(member.vm.id);
        if (member.vm.id == m_context.settings.vm.id)
            candidate.load = static_cast<double>(m_flows.size());
        else if (other != m_otherEntries.end() && now < other->second.receivedAt + maxLoadAge)
            candidate.load = other->second.load.requestsInProgress;
        candidate.recentSelections = m_recentSelections[member.vm.id];
        candidates.push_back(candidate);
    }
    auto chosen = chooseEntries(candidates, count, m_random);
    if (!chosen.empty())
        m_recentSelections[chosen.front().id] += 1;
    return chosen;
}

}
