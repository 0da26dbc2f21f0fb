#include "SharedMemberTable.h"

#include <set>

namespace hyssopwick {

namespace {
    constexpr Milliseconds synchroniseTimeout { 2000 };
}

SharedMemberTable::SharedMemberTable(NodeContext& context)
    : m_context(context)
    , m_table(context.settings.vm, context.incarnation())
{
}

void SharedMemberTable::registerMethods()
{
    m_context.endpoint.add("sync", [this](const nlohmann::json& parameters) { return serve(parameters); });
}

void SharedMemberTable::merge(const nlohmann::json& updates, bool shouldSpread)
{
    if (!updates.is_array())
        return;
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto now = monotonicNow();
    for (const auto& item : updates) {
        const auto update = memberUpdateFromJson(item);
        if (!update) {
            m_context.metrics.count("peer_refusals_total", "malformed-member");
            continue;
        }
        const bool hasChanged = m_table.merge(*update, now, shouldSpread);
        if (hasChanged && update->state == MemberState::Dead)
            m_context.log.write("member.dead", { { "vm", update->vm.id }, { "incarnation", std::to_string(update->incarnation) }, { "by", "gossip" } });
    }
}

nlohmann::json SharedMemberTable::takeUpdates(std::size_t maxUpdates)
{
    auto updates = nlohmann::json::array();
    std::lock_guard<std::mutex> lock(m_mutex);
    for (const auto& update : m_table.takeUpdates(maxUpdates))
        updates.push_back(memberUpdateToJson(update));
    return updates;
}

void SharedMemberTable::synchronise(const std::string& address)
{
    if (m_isSynchronising.exchange(true))
        return;
    auto own = nlohmann::json::array();
    nlohmann::json digests;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        digests = m_table.bucketDigests();
        own.push_back(memberUpdateToJson(m_table.self()));
    }
    m_context.rpc.call(address, "sync", { { "digests", digests }, { "members", own } }, monotonicNow() + synchroniseTimeout, [this](Outcome<nlohmann::json> answer) {
        if (answer && answer.value().is_object() && answer.value().contains("members"))
            merge(answer.value()["members"], false);
        m_isSynchronising = false;
    });
}

nlohmann::json SharedMemberTable::serve(const nlohmann::json& parameters)
{
    if (parameters.contains("members"))
        merge(parameters["members"]);
    auto members = nlohmann::json::array();
    const auto theirs = parameters.value("digests", std::vector<std::uint64_t>());
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto own = m_table.bucketDigests();
    for (std::size_t number = 0; number < own.size(); ++number) {
        if (number < theirs.size() && theirs[number] == own[number])
            continue;
        for (const auto& member : m_table.bucket(number))
            members.push_back(memberUpdateToJson(member));
    }
    return { { "members", members } };
}

void SharedMemberTable::mergeListed(const std::vector<ListedVm>& listed)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto now = monotonicNow();
    for (const auto& vm : listed) {
        if (m_table.find(vm.identity.id))
            continue;
        m_table.merge({ vm.identity, 0, vm.isLeaving ? MemberState::Leaving : MemberState::Alive }, now, false);
    }
}

std::vector<VmIdentity> SharedMemberTable::entries(bool includeLeaving)
{
    std::vector<VmIdentity> entries;
    std::lock_guard<std::mutex> lock(m_mutex);
    for (const auto& id : m_table.liveEntries(includeLeaving)) {
        if (id != m_context.settings.vm.id)
            entries.push_back(m_table.find(id)->vm);
    }
    return entries;
}

std::size_t SharedMemberTable::entryDomains()
{
    std::set<std::string> domains;
    for (const auto& entry : entries(true))
        domains.insert(entry.failureDomain);
    return domains.size();
}

}
