#pragma once

#include "../http/NetworkTypes.h"

namespace hyssopwick {

/// How long ago records of weights versions were written at most, by their revisions. Sent as
/// times that passed, since clocks of VMs differ.
using VersionAges = std::map<std::uint64_t, Milliseconds>;

/// An update of the view as it goes over the wire. It holds nothing that changes with
/// time, so that one is good for all followers that know the same revision.
struct EncodedView {
    std::string body;
    bool isCompressed = false;
    bool isSnapshot = false;
    bool isEmpty = false;

    /// Returns the header fields of an answer with this body.
    /// \param age  how old the sender's knowledge of the store is
    HeaderFields fields(Milliseconds age, const VersionAges& versionAges = {}) const;
};

/// An update from a peer, and how old the peer's knowledge was when it answered.
struct ReceivedView {
    ViewUpdate update;
    Milliseconds age { 0 };
    VersionAges versionAges;
};

/// Encodes an update, compressed when it is large.
EncodedView encodeView(const ViewUpdate& update);

/// Decodes a peer's answer. Fails with ErrorCode::InvalidInput when it is malformed, as
/// is one of a build with another format.
Outcome<ReceivedView> decodeView(const HeaderFields& fields, const std::string& body);

/// Encoded updates of the current revision, built once for all followers that know the
/// same one.
class EncodedViewCache {
public:
    /// Returns what a follower at revision \p known lacks.
    std::shared_ptr<const EncodedView> updateSince(const StoreView& view, std::uint64_t known);

    /// Forgets all; to be called whenever the view changes.
    void clear() { m_byKnown.clear(); }

private:
    std::map<std::uint64_t, std::shared_ptr<const EncodedView>> m_byKnown;
};

}
