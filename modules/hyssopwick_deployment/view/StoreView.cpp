#include "StoreView.h"

#include <set>

namespace hyssopwick {

namespace {
    // A process that lacks more changes than this is sent all records; a fleet's burst
    // of registrations stays below it.
    constexpr std::size_t maxKeptChanges = 512;
}

void StoreView::note(const StoreRecord& record, std::uint64_t revision)
{
    m_changes.push_back({ revision, record.key, record.revision });
    while (m_changes.size() > maxKeptChanges) {
        m_changesFrom = std::max(m_changesFrom, m_changes.front().revision);
        m_changes.pop_front();
    }
}

std::vector<StoreRecord> StoreView::apply(const ViewUpdate& update)
{
    std::vector<StoreRecord> changed;
    if (update.revision < m_revision)
        return changed;
    m_revision = update.revision;
    for (const auto& record : update.records) {
        const auto known = m_records.find(record.key);
        if (known != m_records.end() && known->second.revision >= record.revision)
            continue;
        if (record.isDeleted) {
            // A follower may know the record from elsewhere, also if it was never seen here.
            if (known == m_records.end()) {
                note(record, update.revision);
                continue;
            }
            m_records.erase(known);
        } else {
            m_records[record.key] = record;
        }
        changed.push_back(record);
    }
    if (update.isSnapshot) {
        std::set<std::string> present;
        for (const auto& record : update.records)
            present.insert(record.key);
        for (auto known = m_records.begin(); known != m_records.end();) {
            if (present.count(known->first) != 0 || known->second.revision > update.revision) {
                ++known;
                continue;
            }
            changed.push_back({ known->first, "", update.revision, true });
            known = m_records.erase(known);
        }
    }
    for (const auto& record : changed)
        note(record, update.revision);
    // Records that came and went since the last read are not in a whole read, but a
    // follower may know them: it needs all records too.
    if (update.isSnapshot)
        m_changesFrom = update.revision;
    return changed;
}

ViewUpdate StoreView::updateSince(std::uint64_t known) const
{
    ViewUpdate update;
    update.revision = m_revision;
    if (known < m_changesFrom || known == 0) {
        update.isSnapshot = true;
        for (const auto& [key, record] : m_records)
            update.records.push_back(record);
        return update;
    }
    std::set<std::string> keys;
    for (auto change = m_changes.rbegin(); change != m_changes.rend() && change->revision > known; ++change) {
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
