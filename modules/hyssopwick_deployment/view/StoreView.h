#pragma once

#include <cstdint>
#include <deque>
#include <hyssopwick_core.h>
#include <map>
#include <optional>
#include <vector>

namespace hyssopwick {

/// One record of the store as it was last seen; the value is opaque here.
struct StoreRecord {
    std::string key;
    std::string value;
    std::uint64_t revision = 0; ///< of the change that wrote or deleted it
    bool isDeleted = false;

    auto tied() const { return std::tie(key, value, revision, isDeleted); }
    bool operator==(const StoreRecord& other) const { return tied() == other.tied(); }
    bool operator!=(const StoreRecord& other) const { return !(*this == other); }
};

/// What one process hands to another of its view.
struct ViewUpdate {
    std::uint64_t revision = 0; ///< of the store, up to which this is complete
    bool isSnapshot = false; ///< all records, in place of what was known
    std::vector<StoreRecord> records;

    auto tied() const { return std::tie(revision, isSnapshot, records); }
    bool operator==(const ViewUpdate& other) const { return tied() == other.tied(); }
    bool operator!=(const ViewUpdate& other) const { return !(*this == other); }
};

/// A process's copy of the store's records. It only moves forward: what is older than
/// what is known changes nothing. Pure.
class StoreView {
public:
    /// Takes over an update and returns the records that changed by it.
    std::vector<StoreRecord> apply(const ViewUpdate& update);

    /// Returns what somebody who knows revision \p known lacks; all records when the
    /// changes since then are no longer kept.
    ViewUpdate updateSince(std::uint64_t known) const;

    /// Returns the store's revision up to which this view is complete; 0 before the first update.
    std::uint64_t revision() const { return m_revision; }

    const std::map<std::string, StoreRecord>& records() const { return m_records; }

private:
    struct Change {
        std::uint64_t revision; // of the view when it learnt of the change
        std::string key;
        std::uint64_t recordRevision;
    };

    void note(const StoreRecord& record, std::uint64_t revision);

    std::uint64_t m_revision = 0;
    std::uint64_t m_changesFrom = 0; // changes after this revision are all kept
    std::map<std::string, StoreRecord> m_records;
    std::deque<Change> m_changes;
};

}
