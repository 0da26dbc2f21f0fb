#include "SnapshotRead.h"

#include <algorithm>

namespace hyssopwick {

std::variant<SnapshotRead::PageNeeded, SnapshotRead::ChangesNeeded, SnapshotRead::Complete> SnapshotRead::next() const
{
    if (!m_hasLastPage)
        return PageNeeded { m_after };
    if (m_completeRevision < m_newestRevision)
        return ChangesNeeded { m_completeRevision };
    return Complete {};
}

ViewUpdate SnapshotRead::takeSnapshot()
{
    ViewUpdate snapshot { m_completeRevision, true, {}, m_era };
    for (auto& [key, record] : m_records) {
        if (!record.isDeleted)
            snapshot.records.push_back(std::move(record));
    }
    m_records.clear();
    return snapshot;
}

Outcome<void> SnapshotRead::addPage(StorePage page, std::uint64_t era)
{
    if (m_hasPage && era != m_era)
        return failure(ErrorCode::Conflict, "a page is of another era than the one before");
    if (page.hasMore && (page.records.empty() || page.records.back().key <= m_after))
        return failure(ErrorCode::InvalidInput, "a page does not go on after \"" + m_after + "\"");
    m_completeRevision = m_hasPage ? std::min(m_completeRevision, page.revision) : page.revision;
    m_newestRevision = std::max(m_newestRevision, page.revision);
    m_era = era;
    m_hasPage = true;
    m_hasLastPage = !page.hasMore;
    if (page.hasMore)
        m_after = page.records.back().key;
    add(std::move(page.records));
    return success();
}

Outcome<void> SnapshotRead::addChanges(StorePage changes, std::uint64_t era)
{
    if (era != m_era)
        return failure(ErrorCode::Conflict, "changes are of another era than the pages");
    if (changes.revision <= m_completeRevision)
        return failure(ErrorCode::InvalidInput, "no changes after revision " + std::to_string(m_completeRevision));
    m_completeRevision = changes.revision;
    add(std::move(changes.records));
    return success();
}

void SnapshotRead::add(std::vector<StoreRecord> records)
{
    for (auto& record : records) {
        auto& known = m_records[record.key];
        if (known.revision < record.revision)
            known = std::move(record);
    }
}

}
