#include "UpstreamRegistry.h"

namespace hyssopwick {

namespace {
    // Longer than a copy of the store may be old, and than a leaving upstream runs on.
    constexpr Milliseconds departureMemory { 120000 };
    // The store removes the registration of a dead upstream after three missed heartbeats;
    // heartbeats are about 1.2 s apart (the platform's protocol).
    constexpr Milliseconds deadRegistrationLifetime { 5000 };
}

UpstreamRegistry::UpstreamRegistry(Milliseconds removalGrace)
    : m_removalGrace(removalGrace)
{
}

const UpstreamRegistry::Departure* UpstreamRegistry::departureOf(const Upstream& upstream) const
{
    const auto departure = m_departures.find(upstream.id);
    return departure != m_departures.end() && departure->second.startedAt == upstream.startedAt ? &departure->second : nullptr;
}

bool UpstreamRegistry::set(const Upstream& registration, RegistrationSource source, TimePoint now)
{
    auto upstream = registration;
    std::optional<TimePoint> usedFrom;
    if (const auto* departure = departureOf(upstream)) {
        if (departure->isLeaving)
            upstream.state = UpstreamState::Draining;
        else if (source == RegistrationSource::RestoredCopy)
            usedFrom = now + deadRegistrationLifetime;
        else
            m_departures.erase(upstream.id);
    }
    const auto known = m_entries.find(upstream.id);
    if (known != m_entries.end() && !known->second.usedUntil && known->second.usedFrom == usedFrom && known->second.upstream == upstream)
        return false;
    // A new instance at the same address replaces one whose registration has ended.
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        const bool isReplaced = entry->second.usedUntil && entry->second.upstream.address == upstream.address && entry->first != upstream.id;
        entry = isReplaced ? m_entries.erase(entry) : std::next(entry);
    }
    if (upstream.state == UpstreamState::Draining)
        m_departures[upstream.id] = { upstream.startedAt, true, now + departureMemory };
    m_entries[upstream.id] = { upstream, std::nullopt, usedFrom };
    ++m_revision;
    return true;
}

void UpstreamRegistry::remove(const std::string& id, RegistrationEnd end, TimePoint now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    ++m_revision;
    const auto& upstream = found->second.upstream;
    const bool isLeaving = upstream.state == UpstreamState::Draining;
    // Without the time of its start, a later start under the same id could not be told from this one.
    if (upstream.startedAt == 0)
        m_departures.erase(id);
    else if (end != RegistrationEnd::Unreadable)
        m_departures[id] = { upstream.startedAt, isLeaving, now + departureMemory };
    if (end != RegistrationEnd::Ended || isLeaving || found->second.usedFrom) {
        m_entries.erase(found);
        return;
    }
    if (!found->second.usedUntil)
        found->second.usedUntil = now + m_removalGrace;
}

bool UpstreamRegistry::recordLeaving(const std::string& id, UnixMilliseconds startedAt, TimePoint now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        // Its registration may still be on its way here.
        if (startedAt != 0)
            m_departures[id] = { startedAt, true, now + departureMemory };
        return false;
    }
    auto& upstream = found->second.upstream;
    const bool isOtherStart = startedAt != 0 && upstream.startedAt != 0 && startedAt != upstream.startedAt;
    if (isOtherStart || upstream.state == UpstreamState::Draining)
        return false;
    upstream.state = UpstreamState::Draining;
    m_departures[id] = { upstream.startedAt, true, now + departureMemory };
    ++m_revision;
    return true;
}

bool UpstreamRegistry::expire(TimePoint now)
{
    bool isChanged = false;
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        if (entry->second.usedFrom && *entry->second.usedFrom <= now) {
            entry->second.usedFrom.reset();
            isChanged = true;
        }
        const bool hasEnded = entry->second.usedUntil && *entry->second.usedUntil <= now;
        isChanged = isChanged || hasEnded;
        entry = hasEnded ? m_entries.erase(entry) : std::next(entry);
    }
    for (auto departure = m_departures.begin(); departure != m_departures.end();)
        departure = departure->second.forgetAt <= now && m_entries.count(departure->first) == 0 ? m_departures.erase(departure) : std::next(departure);
    m_revision += isChanged;
    return isChanged;
}

std::optional<TimePoint> UpstreamRegistry::nextExpiry() const
{
    std::optional<TimePoint> next;
    for (const auto& [id, entry] : m_entries) {
        for (const auto& at : { entry.usedUntil, entry.usedFrom }) {
            if (at && (!next || *at < *next))
                next = at;
        }
    }
    return next;
}

std::vector<const Upstream*> UpstreamRegistry::usable(const std::string& service) const
{
    std::vector<const Upstream*> upstreams;
    for (const auto& [id, entry] : m_entries) {
        if (entry.upstream.service == service && entry.isUsable())
            upstreams.push_back(&entry.upstream);
    }
    return upstreams;
}

std::vector<const Upstream*> UpstreamRegistry::usableAt(const std::string& address) const
{
    std::vector<const Upstream*> upstreams;
    for (const auto& [id, entry] : m_entries) {
        if (entry.upstream.address == address && entry.isUsable())
            upstreams.push_back(&entry.upstream);
    }
    return upstreams;
}

std::vector<const Upstream*> UpstreamRegistry::registered(const std::string& service) const
{
    std::vector<const Upstream*> upstreams;
    for (const auto& [id, entry] : m_entries) {
        if (entry.upstream.service == service && !entry.usedUntil)
            upstreams.push_back(&entry.upstream);
    }
    return upstreams;
}

std::vector<const Upstream*> UpstreamRegistry::known(const std::string& service) const
{
    std::vector<const Upstream*> upstreams;
    for (const auto& [id, entry] : m_entries) {
        if (entry.upstream.service == service)
            upstreams.push_back(&entry.upstream);
    }
    return upstreams;
}

bool UpstreamRegistry::isUsable(const std::string& id) const
{
    const auto found = m_entries.find(id);
    return found != m_entries.end() && found->second.isUsable();
}

const Upstream* UpstreamRegistry::find(const std::string& id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second.upstream;
}

}
