#pragma once

#include "../model/DeploymentConfiguration.h"
#include "../model/Upstream.h"
#include "../model/WeightsVersion.h"
#include "../view/StoreView.h"
#include "HttpParts.h"

#include <optional>
#include <variant>

namespace hyssopwick {

/// An entry VM as it registered itself in the store.
struct RegisteredNode {
    VmIdentity vm;
    std::uint64_t incarnation = 0; ///< higher after each start
    double power = 1; ///< calls that it can carry, relative to a whole core

    auto tied() const { return std::tie(vm, incarnation, power); }
    bool operator==(const RegisteredNode& other) const { return tied() == other.tied(); }
    bool operator!=(const RegisteredNode& other) const { return !(*this == other); }
};

/// A prompt block on which engines crash, as a process recorded it in the store.
struct PromptBlockRecord {
    std::string block;
    unsigned rechecks = 0; ///< calls that crashed an engine to find out whether one still crashes

    auto tied() const { return std::tie(block, rechecks); }
    bool operator==(const PromptBlockRecord& other) const { return tied() == other.tied(); }
    bool operator!=(const PromptBlockRecord& other) const { return !(*this == other); }
};

/// A request of the operator that the upstreams of a failure domain get no further calls.
struct Evacuation {
    std::string failureDomain;

    bool operator==(const Evacuation& other) const { return failureDomain == other.failureDomain; }
    bool operator!=(const Evacuation& other) const { return !(*this == other); }
};

/// A record of the store that this system does not use.
struct IrrelevantRecord {
};

/// A record whose value cannot be decoded.
struct UnreadableRecord {
    std::string problem;
};

/// Decoded value of a record of the store.
using DecodedRecord = std::variant<IrrelevantRecord, UnreadableRecord, DeploymentConfiguration, Upstream, WeightsVersion, RegisteredNode, PromptBlockRecord, Evacuation>;

/// Kind of a record of the store. It follows from the key, so it is known after a deletion too.
enum class StoreRecordKind {
    Other,
    Configuration,
    Upstream,
    WeightsVersion,
    Node,
    PromptBlock,
    Evacuation,
};

/// One page of a read of many records.
struct StorePage {
    std::vector<StoreRecord> records;
    bool hasMore = false;
    std::uint64_t revision = 0; ///< of the store at the time of the answer
};

/// Encodes calls to the platform's durable store and decodes its answers.
class StoreCodec {
public:
    virtual ~StoreCodec() = default;

    /// Returns the store's era, stated by each of its answers, or nothing if this one states none.
    virtual std::optional<std::uint64_t> decodeEra(const HeaderFields& fields) const = 0;

    /// Reads a page of all records. \param after  last key of the previous page; "" for the first page
    virtual HttpCall encodeRead(const std::string& after) const = 0;
    virtual Outcome<StorePage> decodeRead(const std::string& body) const = 0;

    /// Waits for changes after a revision.
    virtual HttpCall encodeWatch(std::uint64_t afterRevision, Milliseconds wait) const = 0;
    /// Decodes changes; their keys may repeat. The page's hasMore is never set.
    virtual Outcome<StorePage> decodeWatch(const std::string& body) const = 0;
    /// Returns whether a status means that the requested history is no longer stored.
    virtual bool isHistoryGone(unsigned status) const = 0;

    virtual HttpCall encodeLeaseGrant(Milliseconds lifetime) const = 0;
    /// Decodes the id of a granted lease.
    virtual Outcome<std::uint64_t> decodeLease(const std::string& body) const = 0;
    virtual HttpCall encodeLeaseRenewal(std::uint64_t lease) const = 0;
    virtual HttpCall encodeLeaseEnd(std::uint64_t lease) const = 0;

    /// Registers this VM under a lease.
    virtual HttpCall encodeRegistration(const RegisteredNode& node, std::uint64_t lease) const = 0;

    virtual HttpCall encodePromptBlock(const PromptBlockRecord& record) const = 0;
    virtual HttpCall encodePromptBlockRemoval(const std::string& block) const = 0;

    virtual DecodedRecord decodeRecord(const StoreRecord& record) const = 0;
    /// Returns the kind of the record under a key, and the id of an upstream, node or block or the failure domain.
    virtual std::pair<StoreRecordKind, std::string> decodeKey(const std::string& key) const = 0;
};

}
