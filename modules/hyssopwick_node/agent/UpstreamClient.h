#pragma once

#include "../runtime/NodeContext.h"

#include <hyssopwick_distribution.h>

namespace hyssopwick {

/// A model that the local engine reports as loaded.
struct LoadedModel {
    std::string name;
    std::string version;
    Digest manifest;
};

/// Load that the local engine or service reports; it lags behind the actual load.
struct UpstreamLoad {
    std::int64_t running = 0;
    std::int64_t capacity = 1;
};

/// A prefix that entered or left the engine's cache.
struct CacheEvent {
    std::uint64_t sequence = 0;
    std::uint64_t prefix = 0;
    bool isCached = false;
};

/// Client of the local engine's HTTP interface, which docs/PLATFORM.md describes. All calls
/// block; make them from pool threads.
class UpstreamClient {
public:
    explicit UpstreamClient(NodeContext& context);

    /// Orders the engine to load staged weights from this agent.
    /// Fails with ErrorCode::Conflict for an old fencing token, with
    /// ErrorCode::InvalidInput when the engine cannot load the weights, and with
    /// ErrorCode::UnknownResult when the order may have taken effect or still may.
    Outcome<void> orderLoad(const PlacementRecord& placement, std::uint64_t fencingToken, TimePoint deadline);

    /// Orders the engine to take a role.
    Outcome<void> orderRole(const std::string& role, std::uint64_t fencingToken, TimePoint deadline);

    Outcome<std::vector<LoadedModel>> loadedModels();

    /// Returns the reported load. Fails when the engine or service is down.
    Outcome<UpstreamLoad> load();

    /// Returns cache events with sequence numbers above \p after.
    Outcome<std::vector<CacheEvent>> cacheEvents(std::uint64_t after);

private:
    Outcome<std::string> get(const std::string& path, std::size_t maxBytes);
    Outcome<void> postOrder(const std::string& path, const std::string& body, TimePoint deadline);

    NodeContext& m_context;
};

}
