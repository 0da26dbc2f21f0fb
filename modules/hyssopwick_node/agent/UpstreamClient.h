#pragma once

#include "../runtime/NodeContext.h"

#include <hyssopwick_distribution.h>

namespace hyssopwick {

/// What the local engine says it has loaded.
struct LoadedModel {
    std::string name;
    std::string version;
    Digest manifest;
};

/// Load that the local engine or service reports, with a lag.
struct UpstreamLoad {
    std::int64_t running = 0;
    std::int64_t capacity = 1;
};

/// A change of the engine's prefix cache.
struct CacheEvent {
    std::uint64_t sequence = 0;
    std::uint64_t prefix = 0;
    bool isCached = false;
};

/// Talks to the local engine by its published interface; docs/PLATFORM.md gives it.
/// The calls block; use them from pool threads.
class UpstreamClient {
public:
    explicit UpstreamClient(NodeContext& context);

    /// Orders the engine to load staged weights from this agent.
    /// Fails with ErrorCode::Conflict for an old fencing number, with
    /// ErrorCode::InvalidInput when the engine cannot load the weights, and with
    /// ErrorCode::UnknownResult when the order may still take effect.
    Outcome<void> orderLoad(const PlacementRecord& placement, std::uint64_t fencingToken, TimePoint deadline);

    /// Orders the engine to take a role.
    Outcome<void> orderRole(const std::string& role, std::uint64_t fencingToken, TimePoint deadline);

    /// Returns what the engine has loaded.
    Outcome<std::vector<LoadedModel>> loadedModels();

    /// Returns the reported load; also tells whether the engine or service is up.
    Outcome<UpstreamLoad> load();

    /// Returns cache events with sequence numbers above \p after.
    Outcome<std::vector<CacheEvent>> cacheEvents(std::uint64_t after);

private:
    Outcome<std::string> get(const std::string& path);
    Outcome<void> order(const std::string& path, const std::string& body, TimePoint deadline);

    NodeContext& m_context;
};

}
