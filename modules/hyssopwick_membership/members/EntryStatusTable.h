#pragma once

#include <hyssopwick_core.h>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <vector>

namespace hyssopwick {

/// Short form of the name of a VM or failure domain in statuses. Two names of a fleet may share one;
/// then their statuses replace each other, which costs balance only.
using ShortName = std::uint32_t;

ShortName shortNameOf(const std::string& name);

/// What an entry VM states of itself, as its pings and those of others carry it.
struct EntryStatus {
    ShortName vm = 0;
    std::uint32_t sequence = 0; ///< higher in each later statement of the VM
    Milliseconds age { 0 }; ///< since the statement; transit is not counted
    double power = 1; ///< calls that it can carry, relative to a whole core
    unsigned calls = 0; ///< in progress
    std::map<ShortName, double> queries; ///< address queries a second, by the caller's failure domain

    auto tied() const { return std::tie(vm, sequence, age, power, calls, queries); }
    bool operator==(const EntryStatus& other) const { return tied() == other.tied(); }
    bool operator!=(const EntryStatus& other) const { return !(*this == other); }
};

nlohmann::json entryStatusToJson(const EntryStatus& status);

/// Parses entryStatusToJson() output; nothing for a malformed status.
std::optional<EntryStatus> entryStatusFromJson(const nlohmann::json& json);

/// The statuses of the entry VMs as one of them knows them, and which of them to pass on. Pure.
class EntryStatusTable {
public:
    EntryStatusTable(const std::string& self, std::uint64_t seed);

    /// Returns how many statuses one message carries: fewer in a large fleet, whose entries use their
    /// budget of control traffic for updates of engines.
    static std::size_t messageCount(std::size_t entries);

    /// Sets the power of a VM that has stated none, from its registration.
    void setRegisteredPower(const std::string& vm, double power) { m_registeredPowers[shortNameOf(vm)] = power; }

    /// Replaces the own status. \param sequence  higher in each call, also after a restart
    void setOwn(double power, unsigned calls, std::map<ShortName, double> queries, std::uint32_t sequence);

    /// Merges a status that was received.
    void merge(const EntryStatus& status, TimePoint now);

    /// Records when a VM started, as its registration says, which may be older than its end.
    void recordStart(const std::string& vm, Milliseconds ago, TimePoint now);

    /// Records that a message of a VM itself arrived.
    void recordContact(const std::string& vm, TimePoint now);

    /// Returns statuses for a message: the own one, some of the youngest and those that were not
    /// passed on for the longest time.
    std::vector<EntryStatus> take(std::size_t maxCount, TimePoint now);

    /// Returns whether a VM is known to have run within the last \p maxAge. A VM that states no
    /// status has to have been in contact once; its members' state tells whether it is gone.
    bool hasRunWithin(const std::string& vm, Milliseconds maxAge, TimePoint now) const;

    double powerOf(const std::string& vm) const;

    /// Returns the calls in progress on a VM; 0 when that is not known or too old.
    unsigned callsOf(const std::string& vm, TimePoint now) const;

    /// Returns the address queries a second from callers in a failure domain, over the other VMs.
    double queriesFrom(const std::string& failureDomain, TimePoint now) const;

private:
    struct Known {
        EntryStatus status;
        TimePoint statedAt;
        TimePoint ranAt; // latest evidence: a statement, a contact or the start
        TimePoint passedOnAt;
        bool hasStatus = false;
        bool hasContact = false;
    };

    const Known* fresh(ShortName vm, TimePoint now) const;

    ShortName m_self;
    EntryStatus m_own;
    RandomSource m_random;
    std::map<ShortName, Known> m_known; // of the others
    std::map<ShortName, double> m_registeredPowers;
};

}
