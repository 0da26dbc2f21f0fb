#include "ViewServer.h"

namespace hyssopwick {

namespace {
    // Age at which processes of a build that does not tell it replace their source.
    constexpr Milliseconds defaultMaxAge { 900 };

    const char* answerKind(const EncodedView& encoded)
    {
        if (encoded.isSnapshot)
            return "whole";
        return encoded.isEmpty ? "empty" : "changes";
    }
}

ViewServer::ViewServer(GatewayContext& context, const StoreView& view, const VersionPublications& publications, Owner owner)
    : m_context(context)
    , m_view(view)
    , m_publications(publications)
    , m_owner(std::move(owner))
    , m_timer(context.loop)
{
}

bool ViewServer::serve(const ServerExchangePointer& exchange)
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
        m_owner.onDoubt();
    const auto now = monotonicNow();
    const WaitingPeer peer { exchange, *known, now, now + maxWait, m_view.contentDigest() };
    // If this process's own source lags, it answers at once, so that the peer can choose another.
    const auto maxAge = decodeMaxAge(fields).value_or(defaultMaxAge);
    const auto isDifferent = *known == m_view.position() && decodeContentDigest(fields).value_or(peer.contentDigest) != peer.contentDigest;
    if (*known < m_view.position() || isDifferent || m_owner.times().age > maxAge) {
        answer(peer);
        return true;
    }
    m_waitingPeers.push_back(peer);
    exchange->onCallerLeft([this, raw = exchange.get()] { m_waitingPeers.remove_if([raw](const WaitingPeer& waiting) { return waiting.exchange.get() == raw; }); });
    if (m_waitingPeers.size() == 1)
        expireWaiting();
    return true;
}

void ViewServer::answer(const WaitingPeer& peer)
{
    const auto encoded = m_encoded.updateSince(m_view, peer.known);
    m_context.metrics.count("view_answers_total", answerKind(*encoded));
    m_context.metrics.count("view_bytes_sent_total", "", encoded->body.size());
    const auto now = monotonicNow();
    auto times = m_owner.times();
    times.held = Milliseconds(millisecondsBetween(peer.receivedAt, now));
    peer.exchange->respond(statusOk, encoded->fields(times, m_publications.ages(PublicationBasis::Measured, now), m_publications.ages(PublicationBasis::Estimated, now)), encoded->body);
}

void ViewServer::answerOutdated()
{
    for (auto peer = m_waitingPeers.begin(); peer != m_waitingPeers.end();) {
        if (!(peer->known < m_view.position()) && peer->contentDigest == m_view.contentDigest()) {
            ++peer;
            continue;
        }
        const auto ready = *peer;
        peer = m_waitingPeers.erase(peer);
        answer(ready);
    }
}

void ViewServer::answerAll()
{
    const auto waiting = std::move(m_waitingPeers);
    m_waitingPeers.clear();
    for (const auto& peer : waiting)
        answer(peer);
}

void ViewServer::expireWaiting()
{
    const auto now = monotonicNow();
    while (!m_waitingPeers.empty() && m_waitingPeers.front().deadline <= now) {
        const auto peer = m_waitingPeers.front();
        m_waitingPeers.pop_front();
        answer(peer);
    }
    if (m_waitingPeers.empty())
        return;
    m_timer.expires_at(m_waitingPeers.front().deadline);
    m_timer.async_wait([this](boost::system::error_code error) {
        if (!error)
            expireWaiting();
    });
}

}
