#pragma once

#include "TestSupport.h"

#include <hyssopwick_deployment.h>

namespace hyssopwick {

/// The store with its history, which may come back from an older copy. Watchers state a
/// revision only, so that the store answers them from its current history.
class ModelStore {
public:
    using Records = std::map<std::string, StoreRecord>;

    ModelStore() { remember(); }

    void write(const std::string& key, const std::string& value) { change({ key, value, m_position.revision + 1, false }); }

    void erase(const std::string& key)
    {
        if (m_records.count(key) != 0)
            change({ key, "", m_position.revision + 1, true });
    }

    /// Comes back in a new era with the records that it had \p changes changes ago.
    void returnFromCopy(std::size_t changes)
    {
        const std::uint64_t first = m_copies.begin()->first;
        const auto revision = std::max(first, m_position.revision > changes ? m_position.revision - changes : first);
        const auto copy = std::prev(m_copies.upper_bound(revision));
        m_position = { m_position.era + 1, copy->first };
        m_records = copy->second;
        m_copies.erase(m_copies.upper_bound(copy->first), m_copies.end());
        m_history.erase(m_history.upper_bound(copy->first), m_history.end());
        remember();
    }

    void dropHistory() { m_history.clear(), m_historyAfter = m_position.revision; }

    ViewUpdate read() const
    {
        ViewUpdate update { m_position.revision, true, {}, m_position.era };
        for (const auto& [key, record] : m_records)
            update.records.push_back(record);
        return update;
    }

    /// Returns the page after a key. Pages are no snapshot: each holds its records as they are when it is read.
    StorePage page(const std::string& after, std::size_t size) const
    {
        StorePage page;
        page.revision = m_position.revision;
        for (auto record = m_records.upper_bound(after); record != m_records.end() && !page.hasMore; ++record) {
            page.hasMore = page.records.size() == size;
            if (!page.hasMore)
                page.records.push_back(record->second);
        }
        return page;
    }

    /// Returns the changes after a revision, or nothing if the store does not have that history.
    std::optional<ViewUpdate> watch(std::uint64_t after) const
    {
        if (after > m_position.revision || after < m_historyAfter)
            return std::nullopt;
        ViewUpdate update { m_position.revision, false, {}, m_position.era };
        for (auto change = m_history.upper_bound(after); change != m_history.end(); ++change)
            update.records.push_back(change->second);
        return update;
    }

    const StorePosition& position() const { return m_position; }
    const Records& records() const { return m_records; }

    /// Returns the records at any position that the store ever had.
    const Records& recordsAt(const StorePosition& position) const { return m_states.at(position); }

private:
    void change(const StoreRecord& record)
    {
        m_position.revision = record.revision;
        if (record.isDeleted)
            m_records.erase(record.key);
        else
            m_records[record.key] = record;
        m_history[record.revision] = record;
        remember();
    }

    void remember()
    {
        m_copies[m_position.revision] = m_records;
        m_states[m_position] = m_records;
    }

    StorePosition m_position { 1, 1 };
    Records m_records;
    std::map<std::uint64_t, StoreRecord> m_history; // of this era, by revision
    std::uint64_t m_historyAfter = 0;
    std::map<std::uint64_t, Records> m_copies;
    std::map<StorePosition, Records> m_states;
};

}
