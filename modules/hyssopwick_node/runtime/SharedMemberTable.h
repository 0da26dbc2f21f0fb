#pragma once

#include "NodeContext.h"

#include <hyssopwick_membership.h>

namespace hyssopwick {

/// The MemberTable of this process behind a lock. Fetches from peers the buckets that differ,
/// and serves its own. Thread-safe.
class SharedMemberTable {
public:
    explicit SharedMemberTable(NodeContext& context);

    /// Registers the JSON-RPC method through which peers synchronise. Call it only in processes
    /// that others may synchronise from.
    void registerMethods();

    /// Calls \p work with the table while its lock is held.
    template <typename Work>
    auto with(Work work)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        return work(m_table);
    }

    /// Merges updates from a peer's message; malformed ones are counted and skipped.
    /// \param shouldSpread  pass changes on to other members
    void merge(const nlohmann::json& updates, bool shouldSpread = true);

    /// Returns up to \p maxUpdates updates to attach to a message.
    nlohmann::json takeUpdates(std::size_t maxUpdates);

    /// Fetches the buckets that differ from the process at \p address, unless a fetch is in progress.
    void synchronise(const std::string& address);

    /// Adds the VMs of the platform's list that the table lacks.
    void mergeListed(const std::vector<ListedVm>& listed);

    /// Returns the live entry VMs other than this one; leaving ones only if \p includeLeaving.
    std::vector<VmIdentity> entries(bool includeLeaving);

    /// Returns the number of failure domains that entries(true) covers.
    std::size_t entryDomains();

private:
    nlohmann::json serve(const nlohmann::json& parameters);

    NodeContext& m_context;
    std::mutex m_mutex; // guards m_table
    MemberTable m_table;
    std::atomic<bool> m_isSynchronising { false };
};

}
