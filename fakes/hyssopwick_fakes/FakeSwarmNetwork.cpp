#include "FakeSwarmNetwork.h"

#include <algorithm>

namespace hyssopwick {

FakeSwarmNetwork::FakeSwarmNetwork(SwarmNetworkSettings settings, std::uint64_t seed)
    : m_settings(settings)
    , m_seed(seed)
    , m_now(TimePoint() + std::chrono::hours(1))
{
}

void FakeSwarmNetwork::add(const SwarmMember& member, bool hasAllChunks)
{
    Vm vm;
    vm.member = member;
    vm.addedAt = m_now;
    vm.wakeAt = m_now;
    const PullSettings settings { member, m_settings.vmBytesPerSecond, m_settings.originBytesPerSecond, 24 };
    vm.decision = std::make_unique<PullDecision>(settings, "weights/1", m_settings.chunks, m_settings.chunkBytes, m_seed ^ stableHash(member.id), m_now);
    if (hasAllChunks) {
        vm.completedAfter = 0;
        for (std::uint32_t chunk = 0; chunk < m_settings.chunks; ++chunk)
            vm.decision->recordChunkStored(chunk, m_now);
    }
    m_vms[member.id] = std::move(vm);
    updateMembers();
}

void FakeSwarmNetwork::kill(const std::string& member)
{
    m_vms.at(member).isAlive = false;
    m_transfers.remove_if([&](const Transfer& transfer) { return transfer.to == member; });
}

void FakeSwarmNetwork::setOriginState(OriginState state)
{
    m_originState = state;
    if (state == OriginState::Serving) {
        m_originServesSince = m_now;
        m_originResumedAfter = m_firstChunkAfter = m_firstCopyAfter = m_lastCopyAfter = -1;
        m_maxOriginTransfers = 0;
        return;
    }
    if (state == OriginState::Paused)
        return;
    for (auto& transfer : m_transfers)
        transfer.isLost = transfer.isLost || transfer.from.empty();
}

void FakeSwarmNetwork::restartAll(bool areChunksKept)
{
    m_transfers.clear();
    m_announcements.clear();
    if (!areChunksKept)
        m_chunksSent.clear();
    std::vector<std::pair<SwarmMember, ChunkSet>> members;
    for (const auto& [id, vm] : m_vms)
        members.emplace_back(vm.member, vm.decision->held());
    m_vms.clear();
    for (const auto& [member, held] : members) {
        add(member, false);
        for (std::uint32_t chunk = 0; areChunksKept && chunk < m_settings.chunks; ++chunk) {
            if (held.contains(chunk))
                m_vms.at(member.id).decision->recordChunkStored(chunk, m_now);
        }
    }
}

void FakeSwarmNetwork::updateMembers()
{
    std::vector<SwarmMember> members;
    for (const auto& [id, vm] : m_vms)
        members.push_back(vm.member);
    for (auto& [id, vm] : m_vms)
        vm.decision->setMembers(members);
}

unsigned FakeSwarmNetwork::uploadsOf(const std::string& id) const
{
    return static_cast<unsigned>(std::count_if(m_transfers.begin(), m_transfers.end(), [&](const Transfer& transfer) { return transfer.from == id; }));
}

void FakeSwarmNetwork::advance(Vm& vm)
{
    for (const auto& action : vm.decision->advance(m_now)) {
        if (const auto* fetch = std::get_if<FetchFromOrigin>(&action)) {
            const bool isLost = m_originState == OriginState::Refusing || m_originState == OriginState::Silent;
            m_transfers.push_back({ "", vm.member.id, fetch->chunk, double(m_settings.chunkBytes), m_now + m_settings.delay, fetch->deadline, fetch->beginBy, fetch->stallTimeout, {}, isLost });
        } else if (const auto* pull = std::get_if<PullChunk>(&action)) {
            if (uploadsOf(pull->member) >= m_settings.maxUploads) {
                ++m_busyAnswers;
                vm.decision->recordPullFailure(pull->member, pull->chunk, true, m_now);
                continue;
            }
            m_transfers.push_back({ pull->member, vm.member.id, pull->chunk, double(m_settings.chunkBytes), m_now + m_settings.delay, pull->deadline, pull->deadline });
        } else if (const auto* announcement = std::get_if<AnnounceHeldChunks>(&action)) {
            for (const auto& member : announcement->members)
                m_announcements.push_back({ vm.member.id, member, vm.decision->held(), announcement->wantsAnswer, m_now + m_settings.delay });
        }
    }
    vm.wakeAt = vm.decision->nextWake(m_now);
}

void FakeSwarmNetwork::deliverAnnouncements()
{
    for (auto announcement = m_announcements.begin(); announcement != m_announcements.end();) {
        if (announcement->arrivesAt > m_now) {
            ++announcement;
            continue;
        }
        auto& vm = m_vms.at(announcement->to);
        if (vm.isAlive) {
            vm.decision->recordHeld(announcement->from, announcement->held);
            if (announcement->wantsAnswer)
                m_announcements.push_back({ vm.member.id, announcement->from, vm.decision->held(), false, m_now + m_settings.delay });
            if (!vm.decision->isComplete())
                vm.wakeAt = m_now;
        }
        announcement = m_announcements.erase(announcement);
    }
}

void FakeSwarmNetwork::recordCompletion(Vm& vm)
{
    vm.completedAfter = millisecondsBetween(vm.addedAt, m_now);
    m_lastCopyAfter = millisecondsBetween(m_originServesSince, m_now);
    if (m_firstCopyAfter < 0)
        m_firstCopyAfter = m_lastCopyAfter;
}

void FakeSwarmNetwork::completeTransfer(const Transfer& transfer)
{
    auto& vm = m_vms.at(transfer.to);
    vm.decision->recordChunkStored(transfer.chunk, m_now);
    if (transfer.from.empty()) {
        m_chunksSentTwice += !m_chunksSent.insert(transfer.chunk).second;
        if (m_firstChunkAfter < 0)
            m_firstChunkAfter = millisecondsBetween(m_originServesSince, m_now);
    }
    if (vm.decision->isComplete() && vm.completedAfter < 0)
        recordCompletion(vm);
    vm.wakeAt = m_now;
}

bool FakeSwarmNetwork::hasFailed(const Transfer& transfer) const
{
    if (m_now >= transfer.deadline || (transfer.isLost && m_originState == OriginState::Refusing && transfer.startsAt <= m_now))
        return true;
    const bool hasBegun = transfer.bytesLeft < double(m_settings.chunkBytes);
    if (!hasBegun)
        return m_now >= transfer.beginBy;
    return transfer.stallTimeout.count() > 0 && m_now >= transfer.progressAt + transfer.stallTimeout;
}

void FakeSwarmNetwork::step(Milliseconds duration)
{
    std::map<std::string, unsigned> uploadCounts;
    std::map<std::string, unsigned> downloadCounts;
    std::map<std::string, unsigned> regionPairCounts;
    const auto regionPairOf = [this](const Transfer& transfer) { return m_vms.at(transfer.from).member.region + ">" + m_vms.at(transfer.to).member.region; };
    const auto isRunning = [this](const Transfer& transfer) { return transfer.startsAt <= m_now && (transfer.from.empty() ? m_originState == OriginState::Serving && !transfer.isLost : m_vms.at(transfer.from).isAlive); };
    for (const auto& transfer : m_transfers) {
        if (!isRunning(transfer))
            continue;
        ++uploadCounts[transfer.from];
        ++downloadCounts[transfer.to];
        if (!transfer.from.empty())
            ++regionPairCounts[regionPairOf(transfer)];
    }
    const std::size_t originTransfers = uploadCounts.count("") != 0 ? uploadCounts.at("") : 0;
    m_maxOriginTransfers = std::max(m_maxOriginTransfers, originTransfers);
    if (originTransfers > 0 && m_originResumedAfter < 0)
        m_originResumedAfter = millisecondsBetween(m_originServesSince, m_now);
    const double seconds = double(duration.count()) / 1000;
    for (auto transfer = m_transfers.begin(); transfer != m_transfers.end();) {
        if (isRunning(*transfer)) {
            const double upRate = (transfer->from.empty() ? m_settings.originBytesPerSecond : m_settings.vmBytesPerSecond) / uploadCounts[transfer->from];
            double rate = std::min(upRate, m_settings.vmBytesPerSecond / downloadCounts[transfer->to]);
            const bool isCrossRegion = !transfer->from.empty() && m_vms.at(transfer->from).member.region != m_vms.at(transfer->to).member.region;
            if (isCrossRegion)
                rate = std::min(rate, m_settings.regionBytesPerSecond / regionPairCounts[regionPairOf(*transfer)]);
            transfer->bytesLeft -= rate * seconds;
            transfer->progressAt = m_now;
            (transfer->from.empty() ? m_originBytes : m_regionBytes) += transfer->from.empty() || isCrossRegion ? rate * seconds : 0;
        }
        if (transfer->bytesLeft > 0 && !hasFailed(*transfer)) {
            ++transfer;
            continue;
        }
        const auto ended = *transfer;
        transfer = m_transfers.erase(transfer);
        if (ended.bytesLeft <= 0)
            completeTransfer(ended);
        else if (ended.from.empty())
            m_vms.at(ended.to).decision->recordOriginFailure(ended.chunk, m_now);
        else
            m_vms.at(ended.to).decision->recordPullFailure(ended.from, ended.chunk, false, m_now);
    }
}

void FakeSwarmNetwork::run(Milliseconds duration)
{
    constexpr Milliseconds tick { 1 };
    const auto end = m_now + duration;
    while (m_now < end) {
        deliverAnnouncements();
        for (auto& [id, vm] : m_vms) {
            if (vm.isAlive && vm.wakeAt <= m_now)
                advance(vm);
        }
        m_now += tick;
        step(tick);
    }
}

std::vector<std::int64_t> FakeSwarmNetwork::completionTimes() const
{
    std::vector<std::int64_t> times;
    for (const auto& [id, vm] : m_vms) {
        if (vm.completedAfter >= 0)
            times.push_back(vm.completedAfter);
    }
    std::sort(times.begin(), times.end());
    return times;
}

}
