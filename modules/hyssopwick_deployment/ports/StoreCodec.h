#pragma once

#include "../model/DeploymentConfiguration.h"
#include "../model/Upstream.h"
#include "../model/WeightsVersion.h"
#include "../view/StoreView.h"
#include "HttpParts.h"

#include <variant>

namespace hyssopwick {

/// An entry VM as it registered itself in the store.
struct RegisteredNode {
    VmIdentity vm;
    std::uint64_t incarnation = 0; ///< grows with each start

    auto tied() const { return std::tie(vm, incarnation); }
    bool operator==(const RegisteredNode& other) const { return tied() == other.tied(); }
    bool operator!=(const RegisteredNode& other) const { return !(*this == other); }
};

/// A record of the store that is not for this system.
struct IrrelevantRecord {
};

/// A record whose value cannot be used, and why.
struct UnreadableRecord {
    std::string problem;
};

/// What a record of the store says.
using DecodedRecord = std::variant<IrrelevantRecord, UnreadableRecord, DeploymentConfiguration, Upstream, WeightsVersion, RegisteredNode>;

/// What a key of the store names, known also when its record is gone.
enum class StoreRecordKind {
    Other,
    Configuration,
    Upstream,
    WeightsVersion,
    Node,
};

/// One answer of a read of many records.
struct StorePage {
    std::vector<StoreRecord> records;
    bool hasMore = false;
    std::uint64_t revision = 0; ///< of the store, when it answered
};

/// Encodes calls to the store that keeps what must last, and decodes its answers.
class StoreCodec {
public:
    virtual ~StoreCodec() = default;

    /// Reads all records. \param after  key of the last record of the page before; "" for the first
    virtual HttpCall encodeRead(const std::string& after) const = 0;
    virtual Outcome<StorePage> decodeRead(const std::string& body) const = 0;

    /// Waits for changes after a revision.
    virtual HttpCall encodeWatch(std::uint64_t afterRevision, Milliseconds wait) const = 0;
    /// Decodes changes; their keys may repeat. The page's hasMore is never set.
    virtual Outcome<StorePage> decodeWatch(const std::string& body) const = 0;
    /// Returns whether a status says that the history asked for is gone.
    virtual bool isHistoryGone(unsigned status) const = 0;

    virtual HttpCall encodeLeaseGrant(Milliseconds lifetime) const = 0;
    /// Decodes the id of a granted lease.
    virtual Outcome<std::uint64_t> decodeLease(const std::string& body) const = 0;
    virtual HttpCall encodeLeaseRenewal(std::uint64_t lease) const = 0;
    virtual HttpCall encodeLeaseEnd(std::uint64_t lease) const = 0;

    /// Registers this VM under a lease.
    virtual HttpCall encodeRegistration(const RegisteredNode& node, std::uint64_t lease) const = 0;

    /// Decodes what a record says.
    virtual DecodedRecord decodeRecord(const StoreRecord& record) const = 0;
    /// Returns what a key names, and for an upstream or node its id.
    virtual std::pair<StoreRecordKind, std::string> decodeKey(const std::string& key) const = 0;
};

}
