#include "MemberGossip.h"

#include <algorithm>

namespace hyssopwick {

namespace {
    // Half of ProbeDecision's shortest timeout, so that its deadlines are met.
    constexpr Milliseconds tickPeriod { 200 };
    // Updates that fit into one datagram together with the sender.
    constexpr std::size_t maxUpdates = 8;
    constexpr const char* entryKind = "entry";

    VmIdentity identityOf(const GatewayContext& context)
    {
        const auto& description = context.description;
        return { description.node, context.internalAddress(), description.region, description.failureDomain, entryKind };
    }
}

MemberGossip::MemberGossip(GatewayContext& context, PeerSocket& peerSocket)
    : m_context(context)
    , m_peerSocket(peerSocket)
    , m_table(identityOf(context), context.incarnation)
    , m_statuses(context.description.node, stableHash(context.description.node + "/statuses") ^ context.incarnation)
    , m_probes(context.description.node, stableHash(context.description.node) ^ context.incarnation, monotonicNow())
    , m_timer(context.loop)
{
    // Until the configuration is known, this VM accepts no callers.
    m_table.announceLeaving(monotonicNow());
}

void MemberGossip::start()
{
    pingSeeds();
    tick();
}

void MemberGossip::setServing(bool isServing)
{
    const bool wasServing = m_table.self().state == MemberState::Alive;
    if (wasServing == isServing)
        return;
    if (isServing)
        m_table.announceAlive(monotonicNow());
    else
        m_table.announceLeaving(monotonicNow());
    notifyIfChanged();
}

void MemberGossip::announceDeparture()
{
    m_table.announceDeparture(monotonicNow());
    for (const auto& peer : livePeers())
        m_peerSocket.send(peer.address, PingMessage { ++m_sequence, m_table.self(), {}, peer.id, {} });
}

void MemberGossip::addRegisteredNode(const RegisteredNode& node)
{
    m_statuses.setRegisteredPower(node.vm.id, node.power);
    m_statuses.recordStart(node.vm.id, Milliseconds(unixNow() - static_cast<UnixMilliseconds>(node.incarnation)), monotonicNow());
    MemberUpdate update { node.vm, node.incarnation, MemberState::Alive };
    const auto* known = m_table.find(node.vm.id);
    if (known && known->incarnation >= node.incarnation)
        return;
    m_table.merge(update, monotonicNow(), false);
    notifyIfChanged();
}

void MemberGossip::pingSeeds()
{
    for (const auto& ip : m_context.description.seedIps) {
        const auto address = ip + ":" + std::to_string(m_context.description.internalPort);
        if (ip != m_context.description.ip)
            m_peerSocket.send(address, PingMessage { ++m_sequence, m_table.self(), m_table.takeUpdates(maxUpdates), "", takeStatuses(maxUpdates) });
    }
}

void MemberGossip::tick()
{
    const auto now = monotonicNow();
    if (m_probes.detectPause(now)) {
        m_pending.clear();
        m_table.raiseIncarnation(now);
        m_context.log.write("members.resumed", { { "incarnation", std::to_string(m_table.self().incarnation) } });
    }
    expirePings();
    perform(m_probes.advance(m_table, now));
    for (const auto& id : m_table.expire(now))
        m_context.log.write("members.dead", { { "vm", id } });
    if (!m_hasPeers)
        pingSeeds();
    notifyIfChanged();
    m_timer.expires_at(now + tickPeriod);
    m_timer.async_wait([this](boost::system::error_code error) {
        if (!error)
            tick();
    });
}

void MemberGossip::perform(const std::vector<ProbeAction>& actions)
{
    struct Visitor {
        MemberGossip& gossip;
        void operator()(const SendPing& action) const { gossip.ping(action.vm, action.deadline, "", 0); }
        void operator()(const SendIndirectPing& action) const
        {
            const auto sequence = ++gossip.m_sequence;
            gossip.m_pending[sequence] = { action.vm, "", 0, action.deadline, true };
            for (const auto& helper : action.helpers) {
                if (const auto* member = gossip.m_table.find(helper))
                    gossip.m_peerSocket.send(member->vm.address, PingRequest { sequence, gossip.m_table.self(), action.vm });
            }
        }
    };
    for (const auto& action : actions)
        std::visit(Visitor { *this }, action);
}

void MemberGossip::ping(const std::string& vm, TimePoint deadline, const std::string& requester, std::uint64_t requesterSequence)
{
    const auto* member = m_table.find(vm);
    if (!member)
        return;
    const auto sequence = ++m_sequence;
    auto updates = m_table.takeUpdates(maxUpdates);
    auto statuses = takeStatuses(updates.size());
    m_pending[sequence] = { vm, requester, requesterSequence, deadline, false };
    m_peerSocket.send(member->vm.address, PingMessage { sequence, m_table.self(), std::move(updates), vm, std::move(statuses) });
}

void MemberGossip::expirePings()
{
    const auto now = monotonicNow();
    std::vector<PendingPing> expired;
    for (auto pending = m_pending.begin(); pending != m_pending.end();) {
        if (pending->second.deadline > now) {
            ++pending;
            continue;
        }
        expired.push_back(pending->second);
        pending = m_pending.erase(pending);
    }
    for (const auto& ping : expired) {
        if (!ping.requester.empty())
            continue;
        if (!ping.isIndirect) {
            perform(m_probes.recordPingFailure(ping.vm, m_table, now));
        } else if (m_probes.recordIndirectFailure(ping.vm) && m_table.mark(ping.vm, MemberState::Suspect, now)) {
            m_context.log.write("members.suspect", { { "vm", ping.vm } });
        }
    }
}

void MemberGossip::mergeAll(const MemberUpdate& sender, const std::vector<MemberUpdate>& updates)
{
    const auto now = monotonicNow();
    if (sender.vm.id != m_context.description.node) {
        m_hasPeers = true;
        m_table.merge(sender, now);
        m_statuses.recordContact(sender.vm.id, now);
    }
    for (const auto& update : updates)
        m_table.merge(update, now);
    notifyIfChanged();
}

void MemberGossip::mergeStatuses(const std::vector<EntryStatus>& statuses)
{
    const auto now = monotonicNow();
    for (const auto& status : statuses)
        m_statuses.merge(status, now);
}

// Messages with many updates carry fewer statuses, so that each stays within one packet.
std::vector<EntryStatus> MemberGossip::takeStatuses(std::size_t updateCount)
{
    std::map<ShortName, double> queries;
    unsigned calls = 0;
    if (m_statusSource) {
        const auto own = m_statusSource();
        calls = own.first;
        for (const auto& [domain, rate] : own.second)
            queries[shortNameOf(domain)] = rate;
    }
    constexpr std::int64_t sequencesPerSecond = 10;
    const auto sequence = static_cast<std::uint32_t>(unixNow() * sequencesPerSecond / 1000);
    m_statuses.setOwn(m_context.description.power(), calls, std::move(queries), sequence);
    const auto count = EntryStatusTable::messageCount(m_table.liveEntries(true).size());
    return m_statuses.take(count - std::min(count / 2, updateCount), monotonicNow());
}

void MemberGossip::receive(const PingMessage& message, const std::string& sender)
{
    const bool isNewToUs = !m_table.find(message.sender.vm.id);
    mergeAll(message.sender, message.updates);
    mergeStatuses(message.statuses);
    if (!message.target.empty() && message.target != m_context.description.node)
        return;
    auto updates = m_table.takeUpdates(maxUpdates);
    // A sender that is new, or knows only the address of this VM, gets members in bulk.
    if (message.target.empty() || isNewToUs) {
        for (const auto& update : m_table.live()) {
            if (updates.size() >= maxUpdates)
                break;
            updates.push_back(update);
        }
    }
    auto statuses = takeStatuses(updates.size());
    m_peerSocket.send(sender, PingAnswer { message.sequence, m_table.self(), std::move(updates), std::move(statuses) });
}

void MemberGossip::receive(const PingAnswer& message)
{
    mergeAll(message.sender, message.updates);
    mergeStatuses(message.statuses);
    const auto found = m_pending.find(message.sequence);
    if (found == m_pending.end())
        return;
    const auto ping = found->second;
    m_pending.erase(found);
    if (!ping.requester.empty()) {
        m_peerSocket.send(ping.requester, PingAnswer { ping.requesterSequence, message.sender, {}, {} });
        return;
    }
    m_probes.recordAnswer(ping.vm);
}

void MemberGossip::receive(const PingRequest& message, const std::string& sender)
{
    mergeAll(message.sender, {});
    constexpr Milliseconds helperTimeout { 400 };
    ping(message.target, monotonicNow() + helperTimeout, sender, message.sequence);
}

void MemberGossip::notifyIfChanged()
{
    if (m_notifiedDigest == m_table.viewDigest())
        return;
    m_notifiedDigest = m_table.viewDigest();
    if (m_onChange)
        m_onChange();
}

std::vector<VmIdentity> MemberGossip::livePeers() const
{
    std::vector<VmIdentity> peers;
    for (const auto& member : m_table.live()) {
        if (member.vm.kind == entryKind && member.vm.id != m_context.description.node && member.state != MemberState::Suspect)
            peers.push_back(member.vm);
    }
    return peers;
}

std::vector<std::string> MemberGossip::knownEntries() const
{
    auto ids = m_table.deadEntries();
    for (const auto& id : m_table.liveEntries(true))
        ids.push_back(id);
    return ids;
}

std::vector<VmIdentity> MemberGossip::servingEntries() const
{
    std::vector<VmIdentity> entries;
    for (const auto& member : m_table.live()) {
        if (member.vm.kind == entryKind && member.state == MemberState::Alive)
            entries.push_back(member.vm);
    }
    return entries;
}

}
