#pragma once

#include "RegionSet.h"

#include <cstdint>
#include <hyssopwick_core.h>
#include <map>
#include <optional>
#include <vector>

namespace hyssopwick {

/// How a call may be retried after an attempt with an unknown outcome.
enum class CallKind {
    Idempotent, ///< may run more than once
    AtMostOnce, ///< may run once for each attempt by the caller
    Stream, ///< answered by a stream of events
};

/// A service that may run a route's calls, and its share of them.
struct RouteTarget {
    std::string service;
    double weight = 1;

    auto tied() const { return std::tie(service, weight); }
    bool operator==(const RouteTarget& other) const { return tied() == other.tied(); }
    bool operator!=(const RouteTarget& other) const { return !(*this == other); }
};

/// Services and limits for the calls to one host and path prefix.
struct CallRoute {
    std::string name;
    std::string host;
    std::string pathPrefix;
    CallKind kind = CallKind::Idempotent;
    Milliseconds answerTimeout { 0 }; ///< longest time that a caller waits; zero for no limit
    Milliseconds latencyObjective { 0 }; ///< until the answer, or the first event of a stream
    Milliseconds eventGapObjective { 0 }; ///< longest gap between two events of a stream
    unsigned priority = 0; ///< 0 is the most urgent
    unsigned maxUpstreams = 1; ///< number of upstreams that one call may be sent to
    bool allowsAnonymous = false; ///< calls need no key
    bool isResumable = false; ///< a broken stream may be resumed at another upstream
    std::vector<RouteTarget> targets;
    RegionSet allowedRegions {}; ///< in which its calls may run

    auto tied() const
    {
        return std::tie(name, host, pathPrefix, kind, answerTimeout, latencyObjective, eventGapObjective, priority, maxUpstreams, allowsAnonymous, isResumable, targets, allowedRegions);
    }
    bool operator==(const CallRoute& other) const { return tied() == other.tied(); }
    bool operator!=(const CallRoute& other) const { return !(*this == other); }
};

/// Configured performance of a service's model engines.
struct EngineSpeed {
    unsigned slots = 1; ///< sequences that run concurrently
    double tokenCapacity = 0; ///< tokens that fit into the KV cache
    double stepMilliseconds = 10; ///< a step yields one token for each running sequence
    double perSequenceMilliseconds = 0; ///< added to a step for each sequence
    double perThousandContextMilliseconds = 0; ///< added to a step for each 1,000 tokens of context
    double promptTokensPerMillisecond = 20;
    double perMillionPairsMilliseconds = 0; ///< added to the prefill for each million token pairs
    unsigned stepsPerAdmission = 1; ///< steps between two admissions of calls
    double maxPromptTokensPerAdmission = 2048; ///< prefilled between two admissions
    double typicalPromptTokens = 1000;
    double typicalAnswerTokens = 100;
    double loadMilliseconds = 0; ///< time to load a fully staged model

    auto tied() const
    {
        return std::tie(slots, tokenCapacity, stepMilliseconds, perSequenceMilliseconds, perThousandContextMilliseconds,
            promptTokensPerMillisecond, perMillionPairsMilliseconds, stepsPerAdmission, maxPromptTokensPerAdmission, typicalPromptTokens, typicalAnswerTokens, loadMilliseconds);
    }
    bool operator==(const EngineSpeed& other) const { return tied() == other.tied(); }
    bool operator!=(const EngineSpeed& other) const { return !(*this == other); }
};

/// A service: a pool of engines, a pool of plain upstreams, or an origin of weights.
struct ServiceDescription {
    std::string name;
    unsigned maxConnections = 0; ///< that one upstream accepts from all callers together; 0 for no limit
    std::optional<EngineSpeed> engine;
    std::string originAddress; ///< "ip:port" of the origin of the weights; "" for none
    std::string originFailureDomain;
    double originBytesPerSecond = 0;
    unsigned chunkCount = 0; ///< of one version of the weights; 0 without weights
    unsigned chunkBytes = 0;
    std::vector<std::string> models; ///< that its engines serve
    Milliseconds coldTime { 0 }; ///< for which an upstream is cold after a start; zero for never
    double coldCallsPerSecond = 0; ///< that a cold upstream takes from all entry VMs together
    std::string healthPath; ///< of its upstreams' health checks

    bool mayBeCold() const { return coldTime.count() > 0 && coldCallsPerSecond > 0; }

    auto tied() const
    {
        return std::tie(name, maxConnections, engine, originAddress, originFailureDomain, originBytesPerSecond, chunkCount, chunkBytes, models, coldTime, coldCallsPerSecond, healthPath);
    }
    bool operator==(const ServiceDescription& other) const { return tied() == other.tied(); }
    bool operator!=(const ServiceDescription& other) const { return !(*this == other); }
};

/// A client account and the keys that identify it.
struct ClientAccount {
    std::string name;
    std::vector<std::string> keys;
    std::optional<unsigned> priority; ///< overrides the route's
    RegionSet allowedRegions {}; ///< in which its calls may run, in addition to the route's restriction

    auto tied() const { return std::tie(name, keys, priority, allowedRegions); }
    bool operator==(const ClientAccount& other) const { return tied() == other.tied(); }
    bool operator!=(const ClientAccount& other) const { return !(*this == other); }
};

/// Limits on callers' requests and connections.
struct CallerLimits {
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 4194304;
    Milliseconds headerTimeout { 3000 };
    Milliseconds idleTimeout { 15000 };

    auto tied() const { return std::tie(headerBytes, bodyBytes, headerTimeout, idleTimeout); }
    bool operator==(const CallerLimits& other) const { return tied() == other.tied(); }
    bool operator!=(const CallerLimits& other) const { return !(*this == other); }
};

/// One version of the operators' configuration, in full.
struct DeploymentConfiguration {
    std::uint64_t version = 0;
    std::vector<CallRoute> routes;
    std::map<std::string, ServiceDescription> services;
    std::vector<ClientAccount> accounts; ///< empty: calls need no key
    CallerLimits limits;

    auto tied() const { return std::tie(version, routes, services, accounts, limits); }
    bool operator==(const DeploymentConfiguration& other) const { return tied() == other.tied(); }
    bool operator!=(const DeploymentConfiguration& other) const { return !(*this == other); }
};

}
