#pragma once

#include <hyssopwick_deployment.h>
#include <hyssopwick_membership.h>
#include <hyssopwick_requests.h>
#include <variant>

namespace hyssopwick {

/// Asks whether a member is alive, and carries updates of members.
struct PingMessage {
    std::uint64_t sequence = 0;
    MemberUpdate sender;
    std::vector<MemberUpdate> updates;
    std::string target; ///< id of the pinged member; "" when only its address is known
    std::vector<EntryStatus> statuses; ///< of the sender and of others
};

struct PingAnswer {
    std::uint64_t sequence = 0;
    MemberUpdate sender;
    std::vector<MemberUpdate> updates;
    std::vector<EntryStatus> statuses; ///< of the sender and of others
};

/// Asks a member to ping another one.
struct PingRequest {
    std::uint64_t sequence = 0;
    MemberUpdate sender;
    std::string target;
};

/// Whether the agent lets its engine get further calls.
enum class EngineAvailability {
    Serving,
    Draining, ///< gets no further calls; loads weights once its running calls have ended
};

/// An agent's update on the state of its engine.
struct EngineUpdate {
    std::string upstream; ///< id under which the engine is registered; "" when not known
    std::string engineAddress;
    EngineReport report;
    bool isAnswering = true; ///< whether the engine answers its agent
    EngineAvailability availability = EngineAvailability::Serving;
    std::optional<Milliseconds> readyIn; ///< estimated time until an engine without weights serves
    EngineStatement division; ///< for the receiver; empty from an agent before an upgrade
};

/// An entry's subscription to the engine updates of an agent.
struct UpdateSubscription {
    VmIdentity subscriber;
    std::optional<EngineDemand> demand; ///< on the agent's engine; nothing from an entry VM before an upgrade
};

/// A request that was in flight at an upstream that crashed.
struct CrashObservation {
    std::string digest;
    std::string upstream;
    std::vector<std::string> promptBlocks; ///< that may have crashed it; none if the call had begun long before
    Milliseconds sentAgo { 0 }; ///< before this message
    Milliseconds lostAgo { 0 }; ///< before this message
};

/// A call that rechecks quarantined parts (CrashQuarantine) is sent to an upstream.
struct RecheckObservation {
    std::vector<std::string> promptBlocks;
};

/// A call with suspected parts (CrashQuarantine) did not crash its upstream.
struct AnswerObservation {
    std::vector<std::string> promptBlocks;
    Milliseconds begunAgo { 0 }; ///< before this message
};

/// An agent's update for other agents: which version its engine has loaded and whether it is loading.
struct ActivationUpdate {
    std::string node;
    std::string model;
    std::uint64_t wanted = 0; ///< version to load
    std::uint64_t loaded = 0; ///< version in service
    bool isReady = false; ///< has all chunks of the wanted version
    bool isLoading = false;
};

/// An agent's update on which chunks of a version it holds.
struct ChunksUpdate {
    std::string node;
    std::string model;
    std::uint64_t version = 0;
    std::string held; ///< ChunkSet::hex()
    bool wantsAnswer = false; ///< with the receiver's chunks
};

/// An upstream that said in an answer that it leaves.
struct LeavingObservation {
    std::string upstream;
    UnixMilliseconds startedAt = 0; ///< of the start that leaves; 0 when unknown
};

/// A digest of what a process suspects to crash upstreams, from which another one finds whether
/// it knows the same.
struct SuspicionDigest {
    std::uint64_t digest = 0; ///< CrashQuarantine::sharedDigest()
    bool isAnswer = false; ///< to the digest of the receiver
};

/// What a process suspects to crash upstreams.
struct SuspicionUpdate {
    std::vector<CrashSuspect> suspects; ///< times are sent relative to the message
};

/// The limit that an upstream named, or that it has while it is cold, as an entry VM knows it.
struct LimitObservation {
    UpstreamLimit limit; ///< times are sent relative to the message
    std::optional<ColdNotice> cold = std::nullopt; ///< instead of a limit; times are sent relative to the message
};

using PeerMessage = std::variant<PingMessage, PingAnswer, PingRequest, EngineUpdate, UpdateSubscription, CrashObservation, ActivationUpdate, ChunksUpdate, LeavingObservation, RecheckObservation, AnswerObservation, SuspicionDigest, SuspicionUpdate, LimitObservation>;

/// Returns the name of a kind of message in logs and metrics. \param index  of the alternative
const char* peerMessageName(std::size_t index);

/// Encodes a message as CBOR (RFC 8949).
std::string encodePeerMessage(const PeerMessage& message);

/// Decodes a message. Fails with ErrorCode::InvalidInput.
Outcome<PeerMessage> decodePeerMessage(std::string_view bytes);

}
