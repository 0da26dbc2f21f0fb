#pragma once

#include "StorePosition.h"

#include <deque>
#include <hyssopwick_core.h>
#include <map>
#include <optional>
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
/// are ignored; a later era is entered with a snapshot only. Pure: no clock, no I/O.
class StoreView {
public:
    /// Applies an update and returns the records that it changed. A snapshot of a later era
    /// changes every record whose value or revision differs, whichever revision is higher.
    std::vector<StoreRecord> apply(const ViewUpdate& update);

    /// Returns the changes after \p known, or a snapshot when these are no longer stored or
    /// \p known belongs to an earlier era.
    ViewUpdate updateSince(const StorePosition& known) const;

    /// Returns up to where in the store's history this view is complete; revision 0 before the first update.
    const StorePosition& position() const { return m_position; }

    std::uint64_t revision() const { return m_position.revision; }

    const std::map<std::string, StoreRecord>& records() const { return m_records; }

    /// Returns a digest of all records, the same for views with the same content whatever the order in which it came.
    std::uint64_t contentDigest() const { return m_contentDigest; }

private:
    struct Change {
        std::uint64_t revision; // of the view when it received the change
        std::string key;
        std::uint64_t recordRevision;
    };

    void enterEra(std::uint64_t era);
    void put(const StoreRecord& record);
    std::map<std::string, StoreRecord>::iterator erase(std::map<std::string, StoreRecord>::iterator record);
    void recordChange(const StoreRecord& record, std::uint64_t revision);

    StorePosition m_position;
    std::uint64_t m_changesCompleteAfter = 0; // all changes after this revision are stored
    std::map<std::string, StoreRecord> m_records;
    std::uint64_t m_contentDigest = 0; // sum of the digests of all records
    std::deque<Change> m_changes;
};

}
