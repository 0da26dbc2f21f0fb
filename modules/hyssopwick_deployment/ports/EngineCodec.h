#pragma once

#include "../model/EngineReport.h"
#include "../model/WeightsVersion.h"
#include "HttpParts.h"

#include <optional>

namespace hyssopwick {

/// Result of a load order.
enum class OrderResult {
    Begun,
    AlreadyInEffect,
    Conflict, ///< does not fit the engine's state
    Refused, ///< not acceptable in this form
    NotSent, ///< the engine got no byte of the order
    Unknown, ///< no answer, or an inconclusive one
};

/// Returns the name of a result in the log, for example "not-sent".
const char* orderResultName(OrderResult result);

/// Orders an engine to load the weights that are staged on its VM, or to give up those that it has loaded.
struct LoadOrder {
    WeightsVersion weights;
    std::uint64_t expectedSequence = 0; ///< number of orders that the engine has begun before this one

    auto tied() const { return std::tie(weights, expectedSequence); }
    bool operator==(const LoadOrder& other) const { return tied() == other.tied(); }
    bool operator!=(const LoadOrder& other) const { return !(*this == other); }
};

/// Encodes requests to an engine and to the origin of weights, and decodes their answers.
class EngineCodec {
public:
    virtual ~EngineCodec() = default;

    virtual HttpCall encodeReportCall() const = 0;
    /// Decodes a report, and from the answer's header fields whether the engine leaves.
    virtual Outcome<EngineReport> decodeReport(const HeaderFields& fields, const std::string& body) const = 0;

    /// Encodes a health check of an engine. \param path  ServiceDescription::healthPath
    virtual HttpCall encodeHealthCall(const std::string& path) const = 0;
    /// Decodes how long an engine says in the answer that it is still cold; nothing when it does not say.
    virtual std::optional<Milliseconds> decodeColdLeft(const HeaderFields& fields) const = 0;

    virtual HttpCall encodeOrder(const LoadOrder& order) const = 0;
    /// Encodes the order to give up the weights that the engine has loaded.
    virtual HttpCall encodeRetireOrder(const LoadOrder& loaded) const = 0;
    virtual OrderResult decodeOrderAnswer(unsigned status) const = 0;

    /// Encodes the write of one chunk into an engine's staging area.
    virtual HttpCall encodeStageWrite(const std::string& model, unsigned chunk, std::string bytes) const = 0;
    /// Encodes the read of one staged chunk.
    virtual HttpCall encodeStageRead(const std::string& model, unsigned chunk) const = 0;

    virtual HttpCall encodeManifestCall(const WeightsVersion& weights) const = 0;
    virtual Outcome<WeightsManifest> decodeManifest(const std::string& body) const = 0;
    /// Encodes a manifest for another agent, so that decodeManifest() reads it.
    virtual std::string encodeManifest(const WeightsManifest& manifest) const = 0;
    virtual HttpCall encodeChunkCall(const WeightsVersion& weights, unsigned chunk) const = 0;
};

}
