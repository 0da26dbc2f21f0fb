#include "StoreView.h"

#include <set>

namespace hyssopwick {

namespace {
    // A follower that lacks more changes than this gets a snapshot. The burst of
    // registrations when a fleet starts stays below it.
    constexpr std::size_t maxStoredChanges = 512;
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
    if (update.revision < m_revision)
        return changed;
    m_revision = update.revision;
    for (const auto& record : update.records) {
        const auto known = m_records.find(record.key);
        if (known != m_records.end() && known->second.revision >= record.revision)
            continue;
        if (record.isDeleted) {
            // A follower may have the record from another source even if this view never had it.
            if (known == m_records.end()) {
                recordChange(record, update.revision);
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
        recordChange(record, update.revision);
    // A snapshot lacks records that were created and deleted since the last read, but a
    // follower may have them, so it needs a snapshot too.
    if (update.isSnapshot)
        m_changesCompleteAfter = update.revision;
    return changed;
}

ViewUpdate StoreView::updateSince(std::uint64_t known) const
{
    ViewUpdate update;
    update.revision = m_revision;
    if (known < m_changesCompleteAfter || known == 0) {
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
