#include "StoreView.h"

#include <set>

namespace hyssopwick {

namespace {
    // A follower that lacks more changes than this gets a snapshot. The burst of
    // registrations when a fleet starts stays below it.
    constexpr std::size_t maxStoredChanges = 512;

    std::uint64_t digestOf(const StoreRecord& record)
    {
        const auto digits = [](std::uint64_t number) { return std::to_string(number) + ' '; };
        return stableHash(digits(stableHash(record.key)) + digits(record.revision) + digits(stableHash(record.value)));
    }
}

void StoreView::put(const StoreRecord& record)
{
    auto& stored = m_records[record.key];
    if (!stored.key.empty())
        m_contentDigest -= digestOf(stored);
    stored = record;
    m_contentDigest += digestOf(record);
}

std::map<std::string, StoreRecord>::iterator StoreView::erase(std::map<std::string, StoreRecord>::iterator record)
{
    m_contentDigest -= digestOf(record->second);
    return m_records.erase(record);
}

void StoreView::recordChange(const StoreRecord& record, std::uint64_t revision)
{
    m_changes.push_back({ revision, record.key, record.revision });
    while (m_changes.size() > maxStoredChanges) {
        m_changesCompleteAfter = std::max(m_changesCompleteAfter, m_changes.front().revision);
        m_changes.pop_front();
    }
}

std::vector<StoreRecord> StoreView::apply(const ViewUpdate& update)
{
    std::vector<StoreRecord> changed;
    const bool isNewEra = update.era > m_position.era;
    if (update.position() < m_position || (isNewEra && !update.isSnapshot && m_position.revision != 0))
        return changed;
    if (isNewEra)
        enterEra(update.era);
    m_position.revision = update.revision;
    for (const auto& record : update.records) {
        const auto known = m_records.find(record.key);
        if (known != m_records.end() && (isNewEra ? known->second == record : known->second.revision >= record.revision))
            continue;
        if (record.isDeleted) {
            // A follower may have the record from another source even if this view never had it.
            if (known == m_records.end()) {
                recordChange(record, update.revision);
                continue;
            }
            erase(known);
        } else {
            put(record);
        }
        changed.push_back(record);
    }
    if (update.isSnapshot) {
        std::set<std::string> present;
        for (const auto& record : update.records)
            present.insert(record.key);
        for (auto known = m_records.begin(); known != m_records.end();) {
            if (present.count(known->first) != 0 || (!isNewEra && known->second.revision > update.revision)) {
                ++known;
                continue;
            }
            changed.push_back({ known->first, "", update.revision, true });
            known = erase(known);
        }
    }
    for (const auto& record : changed)
        recordChange(record, update.revision);
    // A snapshot lacks records that were created and deleted since the last read, but a
    // follower may have them, so it needs a snapshot too.
    if (update.isSnapshot)
        m_changesCompleteAfter = update.revision;
    return changed;
}

// The revisions of the changes so far mean nothing in the new era.
void StoreView::enterEra(std::uint64_t era)
{
    m_position.era = era;
    m_changes.clear();
    m_changesCompleteAfter = 0;
}

ViewUpdate StoreView::updateSince(const StorePosition& known) const
{
    ViewUpdate update;
    update.revision = m_position.revision;
    update.era = m_position.era;
    if (known.era != m_position.era || known.revision < m_changesCompleteAfter || known.revision == 0) {
        update.isSnapshot = true;
        for (const auto& [key, record] : m_records)
            update.records.push_back(record);
        return update;
    }
    std::set<std::string> keys;
    for (auto change = m_changes.rbegin(); change != m_changes.rend() && change->revision > known.revision; ++change) {
        if (!keys.insert(change->key).second)
            continue;
        const auto record = m_records.find(change->key);
        if (record != m_records.end())
            update.records.push_back(record->second);
        else
            update.records.push_back({ change->key, "", change->recordRevision, true });
    }
    return update;
}

}
