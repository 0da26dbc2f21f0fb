#include "StoreView.h"

#include <algorithm>

namespace hyssopwick {

namespace {
    // A follower that lacks an older deletion gets a snapshot.
    constexpr std::size_t maxStoredDeletions = 512;

    std::uint64_t digestOf(const StoreRecord& record)
    {
        const auto digits = [](std::uint64_t number) { return std::to_string(number) + ' '; };
        return stableHash(digits(stableHash(record.key)) + digits(record.revision) + digits(stableHash(record.value)));
    }
}

bool StoreView::isNews(const StoreRecord& record, bool isInSnapshot) const
{
    const auto known = m_records.find(record.key);
    // One revision has one value. If not, that of the source counts, so that all end with the same.
    if (known != m_records.end())
        return known->second.revision < record.revision || (isInSnapshot && known->second.revision == record.revision && known->second != record);
    const auto deletion = m_deletions.find(record.key);
    return deletion == m_deletions.end() || deletion->second < record.revision;
}

void StoreView::put(const StoreRecord& record)
{
    const auto known = m_records.find(record.key);
    if (known != m_records.end())
        erase(known);
    m_deletions.erase(record.key);
    m_records[record.key] = record;
    m_keysByRevision.emplace(record.revision, record.key);
    m_contentDigest += digestOf(record);
}

StoreView::Records::iterator StoreView::erase(Records::iterator record)
{
    m_contentDigest -= digestOf(record->second);
    m_keysByRevision.erase({ record->second.revision, record->first });
    return m_records.erase(record);
}

void StoreView::recordDeletion(const std::string& key, std::uint64_t revision)
{
    m_deletions[key] = revision;
    if (m_deletions.size() <= maxStoredDeletions)
        return;
    const auto oldest = std::min_element(m_deletions.begin(), m_deletions.end(), [](const auto& left, const auto& right) { return left.second < right.second; });
    m_deletionsCompleteAfter = std::max(m_deletionsCompleteAfter, oldest->second);
    m_deletions.erase(oldest);
}

std::vector<StoreRecord> StoreView::apply(const ViewUpdate& update)
{
    std::vector<StoreRecord> changed;
    const bool isNewEra = update.era > m_position.era;
    if (update.position() < m_position || (isNewEra && !update.isSnapshot && m_position.revision != 0))
        return changed;
    const bool hasMoved = update.position() != m_position;
    if (isNewEra)
        enterEra(update.era);
    m_position.revision = update.revision;
    for (const auto& record : update.records) {
        const auto known = m_records.find(record.key);
        if (isNewEra ? known != m_records.end() && known->second == record : !isNews(record, update.isSnapshot))
            continue;
        if (!record.isDeleted) {
            put(record);
            changed.push_back(record);
            continue;
        }
        if (known != m_records.end()) {
            erase(known);
            changed.push_back(record);
        }
        // A follower may have the record from another source even if this view never had it.
        recordDeletion(record.key, record.revision);
    }
    if (!update.isSnapshot)
        return changed;
    const auto missing = eraseMissing(update, isNewEra);
    changed.insert(changed.end(), missing.begin(), missing.end());
    // A snapshot lacks records that were created and deleted since the last update, but a
    // follower may have them, so it needs a snapshot too.
    if (hasMoved || !changed.empty())
        m_deletionsCompleteAfter = std::max(m_deletionsCompleteAfter, update.revision);
    return changed;
}

// When the deleted records were deleted is unknown, so their deletions are not stored.
std::vector<StoreRecord> StoreView::eraseMissing(const ViewUpdate& snapshot, bool isNewEra)
{
    std::set<std::string> present;
    for (const auto& record : snapshot.records)
        present.insert(record.key);
    std::vector<StoreRecord> erased;
    for (auto record = m_records.begin(); record != m_records.end();) {
        if (present.count(record->first) != 0 || (!isNewEra && record->second.revision > snapshot.revision)) {
            ++record;
            continue;
        }
        erased.push_back({ record->first, "", snapshot.revision, true });
        record = erase(record);
    }
    return erased;
}

// The revisions of the deletions so far mean nothing in the new era.
void StoreView::enterEra(std::uint64_t era)
{
    m_position.era = era;
    m_deletions.clear();
    m_deletionsCompleteAfter = 0;
}

ViewUpdate StoreView::updateSince(const StorePosition& known) const
{
    ViewUpdate update;
    update.revision = m_position.revision;
    update.era = m_position.era;
    if (known.era != m_position.era || known.revision < m_deletionsCompleteAfter || known.revision == 0) {
        update.isSnapshot = true;
        for (const auto& [key, record] : m_records)
            update.records.push_back(record);
        return update;
    }
    for (auto changed = m_keysByRevision.lower_bound({ known.revision + 1, "" }); changed != m_keysByRevision.end(); ++changed)
        update.records.push_back(m_records.at(changed->second));
    for (const auto& [key, revision] : m_deletions) {
        if (revision > known.revision)
            update.records.push_back({ key, "", revision, true });
    }
    return update;
}

}
