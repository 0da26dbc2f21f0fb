#include "MemberTable.h"

#include <algorithm>
#include <cmath>

namespace hyssopwick {

namespace {
    constexpr Milliseconds suspicionPeriod { 2500 };
    constexpr Milliseconds deadRetention { 600000 };
    constexpr double sendsPerDoubling = 3;
}

MemberTable::MemberTable(VmIdentity self, std::uint64_t incarnation)
    : m_self(self.id)
{
    auto& member = m_members[m_self];
    member.update = { std::move(self), incarnation, MemberState::Alive };
    recordChange(member, TimePoint());
}

std::uint64_t MemberTable::digestOf(const MemberUpdate& update)
{
    return stableHash(update.vm.id + "\n" + update.vm.address + "\n" + std::to_string(update.incarnation) + "\n" + memberStateName(update.state));
}

void MemberTable::recordChange(Member& member, TimePoint now, bool shouldSpread)
{
    member.stateSince = now;
    member.sendCount = 0;
    if (shouldSpread && !member.isToBeSpread)
        m_idsToSpread.push_back(member.update.vm.id);
    member.isToBeSpread = member.isToBeSpread || shouldSpread;
    m_viewDigest ^= member.digest;
    member.digest = member.update.state == MemberState::Dead ? 0 : digestOf(member.update);
    m_viewDigest ^= member.digest;
}

bool MemberTable::merge(const MemberUpdate& update, TimePoint now, bool shouldSpread)
{
    if (update.vm.id == m_self) {
        auto& own = m_members.at(m_self);
        if (own.update.state == MemberState::Dead)
            return false;
        const bool needsRefutation = update.incarnation >= own.update.incarnation && update.state >= MemberState::Suspect;
        const bool isFromEarlierRun = update.incarnation > own.update.incarnation;
        if (!needsRefutation && !isFromEarlierRun)
            return false;
        own.update.incarnation = update.incarnation + 1;
        recordChange(own, now);
        return true;
    }
    const auto found = m_members.find(update.vm.id);
    if (found == m_members.end()) {
        if (update.state == MemberState::Dead)
            return false;
        auto& member = m_members[update.vm.id];
        member.update = update;
        recordChange(member, now, shouldSpread);
        return true;
    }
    if (!update.supersedes(found->second.update))
        return false;
    found->second.update = update;
    recordChange(found->second, now, shouldSpread);
    return true;
}

bool MemberTable::mark(const std::string& vm, MemberState state, TimePoint now)
{
    const auto* member = find(vm);
    if (!member || vm == m_self)
        return false;
    auto update = *member;
    update.state = state;
    return merge(update, now);
}

void MemberTable::announceLeaving(TimePoint now)
{
    auto& own = m_members.at(m_self);
    if (own.update.state == MemberState::Leaving)
        return;
    own.update.state = MemberState::Leaving;
    recordChange(own, now);
}

void MemberTable::announceDeparture(TimePoint now)
{
    auto& own = m_members.at(m_self);
    own.update.state = MemberState::Dead;
    recordChange(own, now);
}

void MemberTable::announceAlive(TimePoint now)
{
    auto& own = m_members.at(m_self);
    if (own.update.state == MemberState::Alive)
        return;
    ++own.update.incarnation;
    own.update.state = MemberState::Alive;
    recordChange(own, now);
}

void MemberTable::raiseIncarnation(TimePoint now)
{
    auto& own = m_members.at(m_self);
    ++own.update.incarnation;
    recordChange(own, now);
}

std::vector<std::string> MemberTable::expire(TimePoint now)
{
    std::vector<std::string> died;
    for (auto member = m_members.begin(); member != m_members.end();) {
        auto& [id, state] = *member;
        if (state.update.state == MemberState::Suspect && now >= state.stateSince + suspicionPeriod) {
            state.update.state = MemberState::Dead;
            died.push_back(id);
        } else if (state.update.state == MemberState::Dead && now >= state.stateSince + deadRetention) {
            member = m_members.erase(member);
            continue;
        }
        ++member;
    }
    for (const auto& id : died)
        recordChange(m_members.at(id), now);
    return died;
}

std::vector<MemberUpdate> MemberTable::takeUpdates(std::size_t maxCount)
{
    std::sort(m_idsToSpread.begin(), m_idsToSpread.end(), [this](const std::string& left, const std::string& right) {
        const auto leftMember = m_members.find(left);
        const auto rightMember = m_members.find(right);
        const auto leftSent = leftMember == m_members.end() ? 0 : leftMember->second.sendCount;
        const auto rightSent = rightMember == m_members.end() ? 0 : rightMember->second.sendCount;
        return leftSent != rightSent ? leftSent < rightSent : left < right;
    });
    const auto limit = static_cast<unsigned>(std::ceil(sendsPerDoubling * std::log2(static_cast<double>(m_members.size()) + 1)));
    std::vector<MemberUpdate> updates;
    std::vector<std::string> remaining;
    for (const auto& id : m_idsToSpread) {
        const auto member = m_members.find(id);
        if (member == m_members.end())
            continue;
        if (updates.size() < maxCount) {
            updates.push_back(member->second.update);
            ++member->second.sendCount;
        }
        member->second.isToBeSpread = member->second.sendCount < limit;
        if (member->second.isToBeSpread)
            remaining.push_back(id);
    }
    m_idsToSpread = std::move(remaining);
    return updates;
}

std::array<std::uint64_t, memberBucketCount> MemberTable::bucketDigests() const
{
    std::array<std::uint64_t, memberBucketCount> digests {};
    for (const auto& [id, member] : m_members)
        digests[stableHash(id) % memberBucketCount] ^= digestOf(member.update);
    return digests;
}

std::vector<MemberUpdate> MemberTable::bucket(std::size_t number) const
{
    std::vector<MemberUpdate> members;
    for (const auto& [id, member] : m_members) {
        if (stableHash(id) % memberBucketCount == number)
            members.push_back(member.update);
    }
    return members;
}

const MemberUpdate* MemberTable::find(const std::string& vm) const
{
    const auto found = m_members.find(vm);
    return found == m_members.end() ? nullptr : &found->second.update;
}

std::vector<MemberUpdate> MemberTable::live() const
{
    std::vector<MemberUpdate> members;
    for (const auto& [id, member] : m_members) {
        if (member.update.state != MemberState::Dead)
            members.push_back(member.update);
    }
    return members;
}

std::set<std::string> MemberTable::dead() const
{
    std::set<std::string> ids;
    for (const auto& [id, member] : m_members) {
        if (member.update.state == MemberState::Dead)
            ids.insert(id);
    }
    return ids;
}

std::vector<std::string> MemberTable::deadEntries() const
{
    std::vector<std::string> ids;
    for (const auto& [id, member] : m_members) {
        if (member.update.state == MemberState::Dead && member.update.vm.kind == "entry")
            ids.push_back(id);
    }
    return ids;
}

std::vector<std::string> MemberTable::liveEntries(bool includeLeaving) const
{
    std::vector<std::string> entries;
    for (const auto& [id, member] : m_members) {
        const auto state = member.update.state;
        if (member.update.vm.kind == "entry" && state != MemberState::Dead && (includeLeaving || state != MemberState::Leaving))
            entries.push_back(id);
    }
    return entries;
}

}
