#pragma once

#include <hyssopwick_deployment.h>
#include <hyssopwick_membership.h>
#include <variant>

namespace hyssopwick {

/// Asks whether a member lives, and spreads news of members along.
struct PingMessage {
    std::uint64_t sequence = 0;
    MemberUpdate sender;
    std::vector<MemberUpdate> updates;
    std::string target; ///< id of the member asked; "" when only its address is known
};

/// Answers a ping.
struct PingAnswer {
    std::uint64_t sequence = 0;
    MemberUpdate sender;
    std::vector<MemberUpdate> updates;
};

/// Asks a member to ping another one.
struct PingRequest {
    std::uint64_t sequence = 0;
    MemberUpdate sender;
    std::string target;
};

/// Whether an engine takes calls, as its agent plans it.
enum class EngineAvailability {
    Serving,
    Closing, ///< gets no further calls, to load weights once what it runs has ended
};

/// An agent tells what its engine reports.
struct EngineUpdate {
    std::string upstream; ///< id under which the engine is registered; "" when not known
    std::string engineAddress;
    EngineReport report;
    bool isAnswering = true; ///< whether the engine answers its agent
    EngineAvailability availability = EngineAvailability::Serving;
    std::optional<Milliseconds> readyIn; ///< until an engine without weights serves
};

/// An entry asks an agent for its engine's news.
struct UpdateSubscription {
    VmIdentity subscriber;
};

/// A request was in flight at an upstream that died.
struct CrashObservation {
    std::string digest;
    std::string upstream;
};

/// An agent tells other agents which version its engine has and whether it is loading.
struct ActivationUpdate {
    std::string node;
    std::string model;
    std::uint64_t wanted = 0; ///< version that it is to load
    std::uint64_t loaded = 0; ///< version in service
    bool isReady = false; ///< has all of the wanted version
    bool isLoading = false;
};

/// An agent tells which chunks of a version its VM holds.
struct ChunksUpdate {
    std::string node;
    std::string model;
    std::uint64_t version = 0;
    std::string held; ///< ChunkSet::hex()
    bool wantsAnswer = false;
};

using PeerMessage = std::variant<PingMessage, PingAnswer, PingRequest, EngineUpdate, UpdateSubscription, CrashObservation, ActivationUpdate, ChunksUpdate>;

/// Encodes a message as CBOR (RFC 8949).
std::string encodePeerMessage(const PeerMessage& message);

/// Decodes a message. Fails with ErrorCode::InvalidInput.
Outcome<PeerMessage> decodePeerMessage(std::string_view bytes);

}
