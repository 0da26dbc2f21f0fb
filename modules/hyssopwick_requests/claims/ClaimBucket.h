#pragma once

#include "ClaimIdentity.h"

#include <map>
#include <optional>
#include <variant>

namespace hyssopwick {

enum class ClaimState {
    Claimed, ///< its holder may send the call to an upstream
    Released, ///< the call was not run; it may be claimed again
    Done, ///< the outcome is stored
};

/// The stored outcome of a call.
struct ClaimOutcome {
    int status = 0;
    std::string body;

    bool operator==(const ClaimOutcome& other) const { return status == other.status && body == other.body; }
    bool operator!=(const ClaimOutcome& other) const { return !(*this == other); }
};

/// Requests the claim on an identity.
struct ClaimRequest {
    Digest identity;
    std::string holder; ///< unique to this attempt of the caller
    Digest body; ///< digest of method and body
};

/// Releases a claim: the call was not run.
struct ClaimRelease {
    Digest identity;
    std::string holder;
};

/// Stores the outcome of a claimed call.
struct ClaimCompletion {
    Digest identity;
    std::string holder;
    ClaimOutcome outcome;
};

using ClaimOperation = std::variant<ClaimRequest, ClaimRelease, ClaimCompletion>;

/// Answer to a ClaimOperation.
enum class ClaimAnswer {
    Granted, ///< the operation took effect, now or earlier
    HeldByOther, ///< another attempt holds the claim; its outcome is not known
    OutcomeKnown, ///< the call ran; its outcome is stored
    BodyDiffers, ///< the identity was used with another method or body
    Refused, ///< a release or completion by another holder or in another state, or a too long outcome
    BucketFull,
};

/// Answer to a ClaimOperation, with the stored outcome if it is known.
struct ClaimResult {
    ClaimAnswer answer;
    std::optional<ClaimOutcome> outcome;

    bool operator==(const ClaimResult& other) const { return answer == other.answer && outcome == other.outcome; }
    bool operator!=(const ClaimResult& other) const { return !(*this == other); }
};

/// All claims under one key of the key-value service. The writer applies a batch of
/// operations to the value that it read and stores the result by compare-and-swap, which
/// keeps concurrent writers safe. Repeating an operation gives the same answer, so a
/// writer that lost the answer to its swap reads the value again and repeats the batch.
/// Pure.
class ClaimBucket {
public:
    /// Largest outcome body that is stored, in bytes; a longer one cannot be replayed.
    static constexpr std::size_t maxOutcomeBytes = 2048;

    /// Largest bucket text in bytes, below the value size limit of the service.
    static constexpr std::size_t maxTextBytes = 900'000;

    /// Parses the result of text(); "" gives an empty bucket. Fails with ErrorCode::InvalidInput.
    static Outcome<ClaimBucket> parse(const std::string& text);

    /// Returns the bucket as stored in the key-value service.
    std::string text() const;

    ClaimResult apply(const ClaimOperation& operation);

    std::size_t size() const { return m_claims.size(); }

private:
    struct Claim {
        ClaimState state = ClaimState::Claimed;
        std::string holder;
        std::string body;
        ClaimOutcome outcome;
    };

    ClaimResult applyOne(const ClaimRequest& request);
    ClaimResult applyOne(const ClaimRelease& release);
    ClaimResult applyOne(const ClaimCompletion& completion);

    std::map<std::string, Claim> m_claims; // by identity digest
    std::size_t m_textBytes = 0; // upper estimate
};

}
