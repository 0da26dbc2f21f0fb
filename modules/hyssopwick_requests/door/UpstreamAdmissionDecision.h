#pragma once

#include "../routing/Refusal.h"

#include <map>
#include <optional>
#include <set>

namespace hyssopwick {

/// A call that an entry VM hands to an upstream VM.
struct UpstreamCall {
    std::string attempt; ///< unique to this hand-over
    std::string identity; ///< digest of a non-idempotent call's identity; "" otherwise
    std::string holder; ///< holder of the claim on the identity
    std::string placement; ///< "" for a plain service
    std::string version; ///< version that the request is pinned to
    bool mustRunAlone = false; ///< must not share the upstream with other calls
    TimePoint deadline;
};

/// Decides at an upstream VM whether a call may be handed to the local engine or
/// service, and keeps the set of calls in progress. A refusal means that the
/// call was not run, unless it says that the outcome is unknown. Pure.
class UpstreamAdmissionDecision {
public:
    explicit UpstreamAdmissionDecision(std::int64_t capacity);

    /// Sets the calls that may run at once.
    void setCapacity(std::int64_t capacity) { m_capacity = capacity; }

    /// Sets the version in service of each placement.
    void setServing(const std::map<std::string, std::string>& versions) { m_serving = versions; }

    /// Accepts the call and counts it as in progress, or refuses it.
    std::optional<Refusal> admit(const UpstreamCall& call, TimePoint now);

    /// Records the end of an accepted call.
    /// \param wasRun  false when no byte of the call reached the engine or service
    void finish(const std::string& attempt, bool wasRun);

    /// Takes nothing new from now on.
    void leave() { m_isLeaving = true; }

    /// Takes new calls again, after a record put the VM back into service.
    void cancelLeaving() { m_isLeaving = false; }

    bool isLeaving() const { return m_isLeaving; }

    /// Returns the calls in progress.
    std::int64_t inFlight() const { return static_cast<std::int64_t>(m_inFlight.size()); }

    /// Returns the calls in progress on one placement.
    std::int64_t inFlightOn(const std::string& placement) const;

    std::int64_t capacity() const { return m_capacity; }

private:
    std::int64_t m_capacity;
    bool m_isLeaving = false;
    std::map<std::string, std::string> m_serving;
    std::map<std::string, UpstreamCall> m_inFlight; // by attempt
    std::set<std::string> m_handedOver; // identities of non-idempotent calls
};

}
