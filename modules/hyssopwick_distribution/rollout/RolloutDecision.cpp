#include "RolloutDecision.h"

#include <algorithm>

namespace hyssopwick {

namespace {
    constexpr std::size_t failuresToHalt = 2;
    constexpr Milliseconds maxReportAge { 6000 };
    // A VM that loads reports nothing in service; it counts as loading for this long
    // after its grant even when the grant itself has expired.
    constexpr Milliseconds assumedLoadTime { 10000 };
}

RolloutDecision::RolloutDecision(PlacementRecord placement, TimePoint earlierGrantsUntil)
    : m_placement(std::move(placement))
    , m_earlierGrantsUntil(earlierGrantsUntil)
{
}

void RolloutDecision::setPlacement(const PlacementRecord& placement) { m_placement = placement; }

void RolloutDecision::setReplicas(const std::vector<std::string>& replicas)
{
    m_replicas = replicas;
    for (auto report = m_reports.begin(); report != m_reports.end();) {
        if (std::find(replicas.begin(), replicas.end(), report->first) == replicas.end())
            report = m_reports.erase(report);
        else
            ++report;
    }
}

void RolloutDecision::recordReport(const ReplicaReport& report, TimePoint now)
{
    m_reports[report.vm] = { report, now };
    if (report.serving == m_placement.manifest)
        m_loadingUntil.erase(report.vm);
    if (report.failed == m_placement.manifest) {
        m_loadingUntil.erase(report.vm);
        m_failedManifests[report.vm] = report.failed;
    }
}

std::size_t RolloutDecision::countServingNotLoading(TimePoint now) const
{
    std::size_t serving = 0;
    for (const auto& [vm, replica] : m_reports) {
        const auto grant = m_loadingUntil.find(vm);
        const bool isLoading = grant != m_loadingUntil.end() && now < grant->second;
        const bool isFresh = now < replica.reportedAt + maxReportAge;
        serving += isFresh && !isLoading && !replica.report.serving.isEmpty();
    }
    return serving;
}

std::optional<ActivationGrant> RolloutDecision::decide(const std::string& vm, std::uint64_t fencingToken, TimePoint validUntil, TimePoint now)
{
    if (now < m_earlierGrantsUntil || now >= validUntil || status().isHalted)
        return std::nullopt;
    if (std::find(m_replicas.begin(), m_replicas.end(), vm) == m_replicas.end())
        return std::nullopt;
    const auto found = m_reports.find(vm);
    if (found == m_reports.end())
        return std::nullopt;
    const auto& report = found->second.report;
    if (report.staged != m_placement.manifest || report.serving == m_placement.manifest || report.failed == m_placement.manifest)
        return std::nullopt;
    const auto grant = m_loadingUntil.find(vm);
    const bool isAlreadyGranted = grant != m_loadingUntil.end() && now < grant->second;
    if (!report.serving.isEmpty() && !isAlreadyGranted) {
        const auto serving = countServingNotLoading(now);
        if (serving <= static_cast<std::size_t>(m_placement.minServing))
            return std::nullopt;
    }
    m_loadingUntil[vm] = now + assumedLoadTime;
    return ActivationGrant { m_placement.name, m_placement.manifest, vm, fencingToken, validUntil };
}

RolloutStatus RolloutDecision::status() const
{
    RolloutStatus status;
    status.wanted = m_replicas.size();
    for (const auto& [vm, replica] : m_reports) {
        status.serving += replica.report.serving == m_placement.manifest;
        status.servingOther += !replica.report.serving.isEmpty() && replica.report.serving != m_placement.manifest;
    }
    for (const auto& [vm, manifest] : m_failedManifests)
        status.failed += manifest == m_placement.manifest;
    status.isHalted = status.failed >= failuresToHalt || (status.failed > 0 && status.failed >= status.wanted);
    return status;
}

}
