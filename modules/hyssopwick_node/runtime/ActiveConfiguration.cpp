#include "ActiveConfiguration.h"

namespace hyssopwick {

namespace {
    constexpr Milliseconds pullTimeout { 2000 };
    constexpr std::size_t maxRecentConfigurations = 8;
}

ActiveConfiguration::ActiveConfiguration(NodeContext& context)
    : m_context(context)
{
}

void ActiveConfiguration::registerMethods()
{
    m_context.endpoint.add("configuration", [this](const nlohmann::json& parameters) { return serve(parameters); });
}

void ActiveConfiguration::onChange(Listener listener)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_listeners.push_back(std::move(listener));
}

AdoptionResult ActiveConfiguration::offer(const Head& head, std::shared_ptr<const Bundle> bundle)
{
    std::vector<Listener> listeners;
    Configuration adopted;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        const auto result = m_decision.offer(head, std::move(bundle));
        if (result != AdoptionResult::Known)
            m_context.metrics.count("configuration_offers_total", adoptionResultName(result));
        if (result == AdoptionResult::NewerSchema)
            m_context.log.write("config.schema-unknown", { { "revision", std::to_string(head.revision) }, { "schema", std::to_string(head.schema) } });
        if (result != AdoptionResult::Adopted)
            return result;
        adopted = m_decision.current();
        m_revision = head.revision;
        m_recent.push_back(adopted);
        if (m_recent.size() > maxRecentConfigurations)
            m_recent.erase(m_recent.begin());
        listeners = m_listeners;
        m_context.log.write("config.applied", { { "revision", std::to_string(head.revision) }, { "bundle", head.bundle.hex() }, { "lag_ms", std::to_string(unixNow() - head.acceptedAt) }, { "vm", m_context.settings.vm.id } });
    }
    m_context.metrics.gauge("configuration_revision", static_cast<double>(head.revision));
    for (const auto& listener : listeners)
        listener(adopted);
    return AdoptionResult::Adopted;
}

void ActiveConfiguration::pullIfNewer(const std::string& address, ConfigurationRevision revision)
{
    if (revision <= m_revision || m_isPulling.exchange(true))
        return;
    const auto configuration = current();
    const nlohmann::json parameters { { "have", configuration.head.bundle.hex() }, { "revision", configuration.head.revision } };
    m_context.rpc.call(address, "configuration", parameters, monotonicNow() + pullTimeout, [this](Outcome<nlohmann::json> answer) {
        const bool isQueued = m_context.pool.submit([this, answer = std::move(answer)] {
            receive(answer);
            m_isPulling = false;
        });
        if (!isQueued)
            m_isPulling = false;
    });
}

void ActiveConfiguration::receive(const Outcome<nlohmann::json>& answer)
{
    if (!answer || !answer.value().is_object() || !answer.value().contains("head"))
        return;
    const auto head = headFromText(answer.value().value("head", ""));
    if (!head)
        return;
    if (answer.value().contains("delta")) {
        const auto bundle = applyBundleDelta(*current().bundle, answer.value()["delta"]);
        if (bundle)
            offer(head.value(), std::make_shared<const Bundle>(bundle.value()));
        else
            m_context.metrics.count("configuration_pull_failures_total", errorCodeName(bundle.error().code));
        return;
    }
    const auto bundle = Bundle::parse(answer.value().value("bundle", ""));
    if (bundle)
        offer(head.value(), std::make_shared<const Bundle>(bundle.value()));
    else
        m_context.metrics.count("configuration_pull_failures_total", errorCodeName(bundle.error().code));
}

nlohmann::json ActiveConfiguration::serve(const nlohmann::json& parameters)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto& current = m_decision.current();
    if (current.head.revision == 0)
        return nlohmann::json::object();
    nlohmann::json answer { { "head", headToText(current.head) } };
    const auto have = Digest::fromHex(parameters.value("have", ""));
    for (const auto& recent : m_recent) {
        if (recent.head.bundle == have) {
            answer["delta"] = makeBundleDelta(*recent.bundle, *current.bundle);
            return answer;
        }
    }
    answer["bundle"] = current.bundle->text();
    return answer;
}

void ActiveConfiguration::recordPeerRevision(const std::string& peer, const std::string& failureDomain, ConfigurationRevision revision)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_decision.recordPeerRevision(peer, failureDomain, revision);
}

void ActiveConfiguration::recordHeadRevision(ConfigurationRevision revision)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_decision.recordHeadRevision(revision);
}

void ActiveConfiguration::confirmCurrentAt(ConfigurationRevision revision, TimePoint time)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_decision.confirmCurrentAt(revision, time);
}

Milliseconds ActiveConfiguration::age() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_decision.age(monotonicNow());
}

Configuration ActiveConfiguration::current() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_decision.current();
}

bool ActiveConfiguration::mayServe(std::size_t knownDomains) const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_decision.mayServe(knownDomains);
}

}
