#pragma once

#include <cstdint>
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

    auto tied() const { return std::tie(revision, isSnapshot, records); }
    bool operator==(const ViewUpdate& other) const { return tied() == other.tied(); }
    bool operator!=(const ViewUpdate& other) const { return !(*this == other); }
};

/// A process's copy of the store's records. Updates older than the known state are
/// ignored. Pure: no clock, no I/O.
class StoreView {
public:
    /// Applies an update and returns the records that it changed.
    std::vector<StoreRecord> apply(const ViewUpdate& update);

    /// Returns the changes after revision \p known, or a snapshot when these are no
    /// longer stored.
    ViewUpdate updateSince(std::uint64_t known) const;

    /// Returns the store's revision up to which this view is complete; 0 before the first update.
    std::uint64_t revision() const { return m_revision; }

    const std::map<std::string, StoreRecord>& records() const { return m_records; }

private:
    struct Change {
        std::uint64_t revision; // of the view when it received the change
        std::string key;
        std::uint64_t recordRevision;
    };

    void recordChange(const StoreRecord& record, std::uint64_t revision);

    std::uint64_t m_revision = 0;
    std::uint64_t m_changesCompleteAfter = 0; // all changes after this revision are stored
    std::map<std::string, StoreRecord> m_records;
    std::deque<Change> m_changes;
};

}
