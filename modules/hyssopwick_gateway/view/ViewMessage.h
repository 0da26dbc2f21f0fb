#pragma once

#include "../http/NetworkTypes.h"

namespace hyssopwick {

/// Returns the target of a request for the updates after a position.
std::string encodeViewTarget(const StorePosition& known);

/// Returns a request for the updates after a position, to a source that lags when its view is older than \p maxAge.
/// \param contentDigest  of the sender's view, if the source has to answer at once when its own differs
HttpCall encodeViewCall(const StorePosition& known, Milliseconds maxAge, std::optional<std::uint64_t> contentDigest = std::nullopt);

/// Returns a request for the whole view, which tells the source that its content is in doubt.
HttpCall encodeDoubtfulViewCall(const StorePosition& known, Milliseconds maxAge);

/// Returns the 16 hexadecimal digits of a view's digest in messages and events.
std::string contentDigestText(std::uint64_t digest);

/// Decodes the digest of the sender's view, in a request or an answer; nothing if it is not told or of another build's kind.
std::optional<std::uint64_t> decodeContentDigest(const HeaderFields& fields);

/// Returns whether the sender of a request found that the content of the view is in doubt.
bool isViewInDoubt(const HeaderFields& fields);

/// Decodes the age at which the sender of a request replaces its source; nothing if it is not told.
std::optional<Milliseconds> decodeMaxAge(const HeaderFields& fields);

bool isViewTarget(std::string_view target);

/// Decodes the position in a view target, or returns nothing if it is malformed.
std::optional<StorePosition> decodeViewTarget(std::string_view target);

/// What an answer says of times. Durations are exchanged because the clocks of VMs differ.
struct ViewTimes {
    Milliseconds age { 0 }; ///< how long ago the sender's view was known to be current, if it reads answers at once
    Milliseconds confirmedAge { 0 }; ///< how long ago it certainly was
    Milliseconds held { 0 }; ///< from the arrival of the request to the answer

    auto tied() const { return std::tie(age, confirmedAge, held); }
    bool operator==(const ViewTimes& other) const { return tied() == other.tied(); }
    bool operator!=(const ViewTimes& other) const { return !(*this == other); }
};

/// An encoded update of the view. It holds nothing that changes with time, so that it can be
/// sent to all followers that know the same revision.
struct EncodedView {
    std::string body;
    bool isCompressed = false;
    bool isSnapshot = false;
    bool isEmpty = false;
    std::optional<std::uint64_t> contentDigest {}; ///< of the view that a receiver has with this update

    /// Returns the header fields of an answer with this body.
    /// \param estimatedAges  ages with the basis PublicationBasis::Estimated; others are measured
    HeaderFields fields(const ViewTimes& times, const VersionAges& versionAges = {}, const VersionAges& estimatedAges = {}) const;
};

/// An update from a peer.
struct ReceivedView {
    ViewUpdate update;
    ViewTimes times;
    VersionAges versionAges; ///< measured ones
    VersionAges estimatedAges;
    std::optional<std::uint64_t> contentDigest; ///< nothing from a build that does not tell it
};

/// Encodes an update, compressed when it is large.
EncodedView encodeView(const ViewUpdate& update);

/// A view that is larger than this is not decoded, whatever memory there is.
constexpr std::size_t maxViewBytes = std::size_t(64) << 20;

/// Decodes a peer's answer.
/// \param maxBytes  of the view when it is decompressed
/// Fails with ErrorCode::InvalidInput when it is malformed or comes
/// from a build with another format.
Outcome<ReceivedView> decodeView(const HeaderFields& fields, const std::string& body, std::size_t maxBytes = maxViewBytes);

/// Caches the encoded updates to the current position, one for each position that followers
/// know.
class EncodedViewCache {
public:
    /// Returns the encoded update for a follower at \p known.
    std::shared_ptr<const EncodedView> updateSince(const StoreView& view, const StorePosition& known);

    /// Removes all entries. Call whenever the view changes.
    void clear() { m_byPosition.clear(); }

private:
    std::map<StorePosition, std::shared_ptr<const EncodedView>> m_byPosition;
};

}
