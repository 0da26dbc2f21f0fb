#pragma once

#include "../ports/StoreCodec.h"

#include <map>

namespace hyssopwick {

/// Reads all records of the store as they are at one revision. Its pages are no snapshot: each holds its records as
/// they are when it is read, so the changes since the first page are read after the last one. Pure: no clock, no I/O.
class SnapshotRead {
public:
    /// Next is the page after \p after; "" for the first page.
    struct PageNeeded {
        std::string after;
    };

    /// Next are the changes after \p revision.
    struct ChangesNeeded {
        std::uint64_t revision = 0;
    };

    /// Nothing is needed any more.
    struct Complete {
    };

    /// Returns what has to be read next.
    std::variant<PageNeeded, ChangesNeeded, Complete> next() const;

    /// Adds the page that is needed next. Fails when the read cannot go on and has to begin anew: with
    /// ErrorCode::Conflict when the store came back from an older copy meanwhile, with ErrorCode::InvalidInput
    /// when the page does not go on after the one before.
    Outcome<void> addPage(StorePage page, std::uint64_t era);

    /// Adds the changes that are needed next. Fails as addPage() does, with ErrorCode::InvalidInput when there are none.
    Outcome<void> addChanges(StorePage changes, std::uint64_t era);

    /// Returns the snapshot of a complete read, once.
    ViewUpdate takeSnapshot();

private:
    void add(std::vector<StoreRecord> records);

    std::map<std::string, StoreRecord> m_records; // with deleted ones
    std::string m_after; // last key of the latest page
    bool m_hasPage = false;
    bool m_hasLastPage = false;
    std::uint64_t m_era = 0;
    std::uint64_t m_newestRevision = 0; // of all pages
    std::uint64_t m_completeRevision = 0; // up to which all changes are included
};

}
