#include "EntryGossip.h"

#include <cmath>

namespace hyssopwick {

namespace {
    constexpr Milliseconds roundPeriod { 100 };
    constexpr std::size_t updatesPerPing = 10;
    constexpr unsigned roundsPerSynchronisation = 40;
    constexpr unsigned startupRounds = 12;
    constexpr Milliseconds notifyTimeout { 800 };
    constexpr std::size_t notifyFanout = 4;
    constexpr double minReportedDemand = 0.1; // requests per second
}

EntryGossip::EntryGossip(NodeContext& context, SharedMemberTable& members, ActiveConfiguration& configuration)
    : m_context(context)
    , m_members(members)
    , m_configuration(configuration)
    , m_probes(context.settings.vm.id, stableHash(context.settings.vm.id) ^ context.incarnation(), monotonicNow())
    , m_random(stableHash(context.settings.vm.id) + context.incarnation())
{
}

void EntryGossip::setLoadHandlers(LoadSource source, LoadSink sink)
{
    m_loadSource = std::move(source);
    m_loadSink = std::move(sink);
}

void EntryGossip::registerMethods()
{
    auto& endpoint = m_context.endpoint;
    endpoint.add("ping", [this](const nlohmann::json& message) {
        receivePing(message);
        return makePing();
    });
    endpoint.add("ping-for", [this](const nlohmann::json& message) -> nlohmann::json {
        const auto answer = m_context.rpc.callAndWait(message.value("address", ""), "ping", makePing(), monotonicNow() + Milliseconds(message.value("wait_ms", 0)));
        if (answer)
            receivePing(answer.value());
        return { { "reached", answer.has_value() } };
    });
    endpoint.add("notify", [this](const nlohmann::json& message) -> nlohmann::json {
        m_configuration.pullIfNewer(message.value("address", ""), message.value("revision", ConfigurationRevision { 0 }));
        return nlohmann::json::object();
    });
}

void EntryGossip::start()
{
    m_context.scheduler.every(roundPeriod, [this] { runRound(); });
}

nlohmann::json EntryGossip::makePing()
{
    nlohmann::json message;
    message["from"] = m_context.settings.vm.id;
    message["address"] = m_context.settings.vm.address;
    message["domain"] = m_context.settings.vm.failureDomain;
    message["members"] = m_members.takeUpdates(updatesPerPing);
    message["members"].push_back(m_members.with([](const MemberTable& table) { return memberUpdateToJson(table.self()); }));
    const auto age = m_configuration.age(); // before the revision, which may rise meanwhile
    message["revision"] = m_configuration.revision();
    message["age_ms"] = age.count();
    if (m_loadSource) {
        const auto load = m_loadSource();
        message["load"] = load.requestsInProgress;
        auto demand = nlohmann::json::object();
        for (const auto& [account, rate] : load.demand) {
            if (rate >= minReportedDemand)
                demand[account] = std::round(rate * 100) / 100;
        }
        message["demand"] = demand;
        auto refused = nlohmann::json::object();
        for (const auto& [digest, remaining] : load.refusedRequests)
            refused[digest.hex()] = remaining.count();
        message["refused"] = refused;
    }
    return message;
}

void EntryGossip::receivePing(const nlohmann::json& message)
{
    if (!message.is_object())
        return;
    const auto from = message.value("from", "");
    const auto revision = message.value("revision", ConfigurationRevision { 0 });
    if (message.contains("members"))
        m_members.merge(message["members"]);
    m_configuration.recordPeerRevision(from, message.value("domain", ""), revision);
    m_configuration.pullIfNewer(message.value("address", ""), revision);
    if (!m_loadSink || !message.contains("load"))
        return;
    EntryLoad load;
    load.requestsInProgress = message.value("load", 0.0);
    load.demand = message.value("demand", std::map<std::string, double>());
    const auto refused = message.value("refused", nlohmann::json::object());
    for (const auto& [digest, remaining] : refused.items())
        load.refusedRequests[Digest::fromHex(digest)] = Milliseconds(remaining.get<std::int64_t>());
    m_loadSink(from, load);
}

// The age was measured after the request was sent; how long the answer took is not known.
void EntryGossip::confirmConfiguration(const nlohmann::json& answer, TimePoint sentAt)
{
    if (answer.is_object() && answer.contains("age_ms"))
        m_configuration.confirmCurrentAt(answer.value("revision", ConfigurationRevision { 0 }), sentAt - Milliseconds(answer.value("age_ms", std::int64_t { 0 })));
}

void EntryGossip::runRound()
{
    const auto now = monotonicNow();
    std::vector<ProbeAction> actions;
    std::string synchroniseAddress;
    bool wasPaused = false;
    const auto entries = m_members.entries(true);
    m_members.with([&](const MemberTable& table) {
        std::lock_guard<std::mutex> lock(m_mutex);
        wasPaused = m_probes.detectPause(now);
        actions = m_probes.advance(table, now);
    });
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        const bool isDue = m_rounds < startupRounds ? m_rounds % 4 == 0 : m_rounds % roundsPerSynchronisation == 0;
        ++m_rounds;
        if (isDue && !entries.empty())
            synchroniseAddress = entries[m_random.below(entries.size())].address;
    }
    if (wasPaused) {
        m_context.metrics.count("pauses_total");
        m_members.with([now](MemberTable& current) { current.raiseIncarnation(now); });
    } else {
        for (const auto& vm : m_members.with([now](MemberTable& current) { return current.expire(now); })) {
            m_context.metrics.count("members_dead_total");
            m_context.log.write("member.dead", { { "vm", vm }, { "by", "timeout" } });
        }
    }
    if (!synchroniseAddress.empty())
        m_members.synchronise(synchroniseAddress);
    for (const auto& action : actions)
        perform(action);
}

std::optional<VmIdentity> EntryGossip::identityOf(const std::string& vm)
{
    return m_members.with([&](const MemberTable& table) -> std::optional<VmIdentity> {
        const auto* member = table.find(vm);
        return member ? std::optional<VmIdentity>(member->vm) : std::nullopt;
    });
}

void EntryGossip::perform(const ProbeAction& action)
{
    if (const auto* direct = std::get_if<SendPing>(&action))
        ping(*direct);
    else
        pingIndirectly(std::get<SendIndirectPing>(action));
}

void EntryGossip::ping(const SendPing& action)
{
    const auto target = identityOf(action.vm);
    if (!target)
        return;
    auto message = makePing();
    // Sends a member that is listed as suspect or dead here that state, so that the member can
    // refute it.
    const auto known = m_members.with([&](const MemberTable& table) { return *table.find(action.vm); });
    if (known.state >= MemberState::Suspect)
        message["members"].push_back(memberUpdateToJson(known));
    m_context.rpc.call(target->address, "ping", message, action.deadline, [this, vm = action.vm, sentAt = monotonicNow()](Outcome<nlohmann::json> answer) {
        if (answer) {
            receivePing(answer.value());
            confirmConfiguration(answer.value(), sentAt);
            std::lock_guard<std::mutex> lock(m_mutex);
            m_probes.recordAnswer(vm);
            return;
        }
        m_context.metrics.count("probe_failures_total", errorCodeName(answer.error().code));
        const auto next = m_members.with([&](const MemberTable& table) {
            std::lock_guard<std::mutex> lock(m_mutex);
            return m_probes.recordPingFailure(vm, table, monotonicNow());
        });
        for (const auto& item : next)
            perform(item);
    });
}

void EntryGossip::pingIndirectly(const SendIndirectPing& action)
{
    const auto target = identityOf(action.vm);
    if (!target)
        return;
    if (action.helpers.empty()) {
        suspect(action.vm);
        return;
    }
    auto remaining = std::make_shared<std::atomic<std::size_t>>(action.helpers.size());
    const auto wait = millisecondsBetween(monotonicNow(), action.deadline) / 2;
    for (const auto& helper : action.helpers) {
        const auto identity = identityOf(helper);
        const nlohmann::json parameters { { "address", target->address }, { "wait_ms", wait } };
        m_context.rpc.call(identity ? identity->address : "", "ping-for", parameters, action.deadline,
            [this, remaining, vm = action.vm](Outcome<nlohmann::json> answer) {
                if (answer && answer.value().value("reached", false)) {
                    std::lock_guard<std::mutex> lock(m_mutex);
                    m_probes.recordAnswer(vm);
                }
                if (--*remaining == 0)
                    suspect(vm);
            });
    }
}

void EntryGossip::suspect(const std::string& vm)
{
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        if (!m_probes.recordIndirectFailure(vm))
            return;
    }
    const bool isNew = m_members.with([&](MemberTable& table) { return table.mark(vm, MemberState::Suspect, monotonicNow()); });
    if (!isNew)
        return;
    m_context.metrics.count("suspicions_total");
    m_context.log.write("member.suspected", { { "vm", vm } });
}

void EntryGossip::announceRevision(ConfigurationRevision revision)
{
    sendToRandomEntries("notify", { { "address", m_context.settings.vm.address }, { "revision", revision } });
}

void EntryGossip::announceDeparture() { sendToRandomEntries("ping", makePing()); }

void EntryGossip::sendToRandomEntries(const std::string& method, const nlohmann::json& message)
{
    auto entries = m_members.entries(true);
    for (std::size_t i = 0; i < notifyFanout && !entries.empty(); ++i) {
        std::size_t index = 0;
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            index = m_random.below(entries.size());
        }
        m_context.rpc.call(entries[index].address, method, message, monotonicNow() + notifyTimeout, [](const Outcome<nlohmann::json>&) {});
        entries.erase(entries.begin() + static_cast<std::ptrdiff_t>(index));
    }
}

}
