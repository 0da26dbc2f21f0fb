#pragma once

#include <hyssopwick_core.h>

namespace hyssopwick {

/// A shared key of the fleet. During a key rotation two are valid.
struct PeerKey {
    std::string id;
    std::string secret;
};

/// Authenticates messages between processes of this system: an HMAC-SHA-256 over key id,
/// time, nonce, path and body digest. A bounded table of seen nonces prevents replay;
/// while it is full, all messages are refused. Thread-safe.
class PeerAuthenticator {
public:
    /// \param keys  the first signs; all verify. Must not be empty.
    PeerAuthenticator(std::vector<PeerKey> keys, std::uint64_t seed);
    ~PeerAuthenticator();

    /// Returns the value of the authentication header for a message.
    /// \param path  request path
    /// \param now   wall-clock time of sending
    std::string sign(const std::string& path, const Digest& bodyDigest, UnixMilliseconds now);

    /// Checks the authentication header of a message.
    /// Fails with ErrorCode::Unauthenticated and the reason.
    Outcome<void> verify(const std::string& header, const std::string& path, const Digest& bodyDigest, UnixMilliseconds now);

    /// Name of the header that carries the signature, in lower case.
    static constexpr const char* headerName = "x-hyssopwick-auth";

private:
    struct State;
    std::unique_ptr<State> m_state;
};

}
