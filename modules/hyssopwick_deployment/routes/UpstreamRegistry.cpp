#include "UpstreamRegistry.h"

namespace hyssopwick {

UpstreamRegistry::UpstreamRegistry(Milliseconds removalGrace)
    : m_removalGrace(removalGrace)
{
}

bool UpstreamRegistry::set(const Upstream& upstream)
{
    const auto known = m_entries.find(upstream.id);
    if (known != m_entries.end() && !known->second.usedUntil && known->second.upstream == upstream)
        return false;
    // A new instance at the same address replaces one whose registration has ended.
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        const bool isReplaced = entry->second.usedUntil && entry->second.upstream.address == upstream.address && entry->first != upstream.id;
        entry = isReplaced ? m_entries.erase(entry) : std::next(entry);
    }
    m_entries[upstream.id] = { upstream, std::nullopt };
    ++m_revision;
    return true;
}

void UpstreamRegistry::remove(const std::string& id, bool isReadable, TimePoint now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    ++m_revision;
    if (!isReadable || found->second.upstream.state == UpstreamState::Draining) {
        m_entries.erase(found);
        return;
    }
    if (!found->second.usedUntil)
        found->second.usedUntil = now + m_removalGrace;
}

bool UpstreamRegistry::expire(TimePoint now)
{
    const auto before = m_entries.size();
    for (auto entry = m_entries.begin(); entry != m_entries.end();)
        entry = entry->second.usedUntil && *entry->second.usedUntil <= now ? m_entries.erase(entry) : std::next(entry);
    const bool isChanged = m_entries.size() != before;
    m_revision += isChanged;
    return isChanged;
}

std::optional<TimePoint> UpstreamRegistry::nextExpiry() const
{
    std::optional<TimePoint> next;
    for (const auto& [id, entry] : m_entries) {
        if (entry.usedUntil && (!next || *entry.usedUntil < *next))
            next = entry.usedUntil;
    }
    return next;
}

std::vector<const Upstream*> UpstreamRegistry::usable(const std::string& service) const
{
    std::vector<const Upstream*> upstreams;
    for (const auto& [id, entry] : m_entries) {
        if (entry.upstream.service == service && entry.upstream.state == UpstreamState::Ready)
            upstreams.push_back(&entry.upstream);
    }
    return upstreams;
}

std::vector<const Upstream*> UpstreamRegistry::usableAt(const std::string& address) const
{
    std::vector<const Upstream*> upstreams;
    for (const auto& [id, entry] : m_entries) {
        if (entry.upstream.address == address && entry.upstream.state == UpstreamState::Ready)
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

const Upstream* UpstreamRegistry::find(const std::string& id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second.upstream;
}

}
