#pragma once

#include "../routing/Refusal.h"

#include <map>
#include <optional>
#include <set>

namespace hyssopwick {

/// A call that an entry VM sends to an upstream VM.
struct UpstreamCall {
    std::string attempt; ///< unique to this attempt to send the call
    std::string identity; ///< digest of a non-idempotent call's identity; "" otherwise
    std::string holder; ///< holder of the claim on the identity
    std::string placement; ///< "" for a plain service
    std::string version; ///< version that the request is pinned to
    bool mustRunAlone = false; ///< the upstream must not run other calls meanwhile
    TimePoint deadline;
};

/// Decides at an upstream VM whether a call may be sent to the local engine or service,
/// and tracks the calls in progress. A refusal means that the call was not run, unless
/// its reason is OutcomeUnknown. Pure.
class UpstreamAdmissionDecision {
public:
    /// \param capacity  how many calls may run at once
    explicit UpstreamAdmissionDecision(std::int64_t capacity);

    void setCapacity(std::int64_t capacity) { m_capacity = capacity; }

    /// Sets the served version of each placement.
    void setServing(const std::map<std::string, std::string>& versions) { m_serving = versions; }

    /// Admits the call and counts it as in progress, or returns a refusal.
    std::optional<Refusal> admit(const UpstreamCall& call, TimePoint now);

    /// Records the end of an admitted call.
    /// \param wasRun  false when no byte of the call reached the engine or service
    void finish(const std::string& attempt, bool wasRun);

    /// Refuses all new calls from now on.
    void leave() { m_isLeaving = true; }

    /// Admits new calls again, after a record returned the VM to service.
    void cancelLeaving() { m_isLeaving = false; }

    bool isLeaving() const { return m_isLeaving; }

    std::int64_t inFlight() const { return static_cast<std::int64_t>(m_inFlight.size()); }

    /// Returns the number of calls in progress for one placement.
    std::int64_t inFlightOn(const std::string& placement) const;

    std::int64_t capacity() const { return m_capacity; }

private:
    std::int64_t m_capacity;
    bool m_isLeaving = false;
    std::map<std::string, std::string> m_serving;
    std::map<std::string, UpstreamCall> m_inFlight; // by attempt
    std::set<std::string> m_sentIdentities; // non-idempotent calls sent to the engine or service
};

}
