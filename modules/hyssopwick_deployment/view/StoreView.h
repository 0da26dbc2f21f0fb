#pragma once

#include "StorePosition.h"

#include <hyssopwick_core.h>
#include <map>
#include <set>
#include <vector>

namespace hyssopwick {

/// Last known state of a record of the store; the value is opaque here.
struct StoreRecord {
    std::string key;
    std::string value;
    std::uint64_t revision = 0; ///< of the change that wrote or deleted it
    bool isDeleted = false;

    auto tied() const { return std::tie(key, value, revision, isDeleted); }
    bool operator==(const StoreRecord& other) const { return tied() == other.tied(); }
    bool operator!=(const StoreRecord& other) const { return !(*this == other); }
};

/// All records of a view, or its changes, for another process.
struct ViewUpdate {
    std::uint64_t revision = 0; ///< of the store, up to which this is complete
    bool isSnapshot = false; ///< all records, replacing those that the receiver has
    std::vector<StoreRecord> records;
    std::uint64_t era = 0; ///< of the store, to which all revisions belong

    StorePosition position() const { return { era, revision }; }

    auto tied() const { return std::tie(revision, isSnapshot, records, era); }
    bool operator==(const ViewUpdate& other) const { return tied() == other.tied(); }
    bool operator!=(const ViewUpdate& other) const { return !(*this == other); }
};

/// A process's copy of the store's records, all of one era. Updates older than the known state
/// are ignored; a later era is entered with a snapshot only. Records may be ahead of the position,
/// from a source that read them in pages; what followers get depends on the revisions of records, never
/// on when this view received them. Pure: no clock, no I/O.
class StoreView {
public:
    /// Applies an update and returns the records that it changed. A snapshot of a later era
    /// changes every record whose value or revision differs, whichever revision is higher.
    std::vector<StoreRecord> apply(const ViewUpdate& update);

    /// Returns the changes after \p known, or a snapshot when deletions since then are no longer stored or
    /// \p known belongs to an earlier era.
    ViewUpdate updateSince(const StorePosition& known) const;

    /// Returns up to where in the store's history this view is complete; revision 0 before the first update.
    const StorePosition& position() const { return m_position; }

    std::uint64_t revision() const { return m_position.revision; }

    const std::map<std::string, StoreRecord>& records() const { return m_records; }

    /// Returns a digest of all records, the same for views with the same content whatever the order in which it came.
    std::uint64_t contentDigest() const { return m_contentDigest; }

private:
    using Records = std::map<std::string, StoreRecord>;

    void enterEra(std::uint64_t era);
    bool isNews(const StoreRecord& record, bool isInSnapshot) const;
    void put(const StoreRecord& record);
    Records::iterator erase(Records::iterator record);
    void recordDeletion(const std::string& key, std::uint64_t revision);
    std::vector<StoreRecord> eraseMissing(const ViewUpdate& snapshot, bool isNewEra);

    StorePosition m_position;
    Records m_records;
    std::set<std::pair<std::uint64_t, std::string>> m_keysByRevision; // of all records
    std::map<std::string, std::uint64_t> m_deletions; // revisions of deletions by key
    std::uint64_t m_deletionsCompleteAfter = 0; // all deletions after this revision are stored
    std::uint64_t m_contentDigest = 0; // sum of the digests of all records
};

}
