#pragma once

#include "../model/ProcessDescription.h"
#include "HttpParts.h"

#include <optional>

namespace hyssopwick {

/// A caller's query for the entry VMs to use.
struct AddressQuery {
    std::string host;
    std::string region;
    std::string failureDomain;

    auto tied() const { return std::tie(host, region, failureDomain); }
    bool operator==(const AddressQuery& other) const { return tied() == other.tied(); }
    bool operator!=(const AddressQuery& other) const { return !(*this == other); }
};

/// Decodes callers' address queries and encodes the answers.
class DirectoryCodec {
public:
    virtual ~DirectoryCodec() = default;

    /// Decodes a request's target; returns nullopt when it is not an address query.
    virtual std::optional<AddressQuery> decodeQuery(const std::string& method, const std::string& target) const = 0;

    /// Returns whether a request asks if this VM is ready.
    virtual bool isReadinessCheck(const std::string& method, const std::string& target) const = 0;

    /// Encodes an answer that callers may cache for \p lifetime.
    virtual std::string encodeAnswer(const std::vector<std::string>& addresses, Milliseconds lifetime) const = 0;

    /// Returns the largest number of addresses in one answer.
    virtual std::size_t maxAddresses() const = 0;
};

}
