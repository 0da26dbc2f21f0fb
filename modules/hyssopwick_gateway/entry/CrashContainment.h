#pragma once

#include "../runtime/GatewayContext.h"
#include "../runtime/PeerMessage.h"

#include <hyssopwick_requests.h>

namespace hyssopwick {

/// What identifies a call, for what may crash an upstream.
struct CrashTraits {
    Digest fingerprint; ///< the same for each repetition of a request
    std::vector<std::string> promptBlocks; ///< ids of the blocks that other requests share

    /// Returns the id of the whole request among the parts that a CrashQuarantine knows.
    std::string requestPart() const { return "request-" + fingerprint.hex(); }
    /// Returns the ids of all parts.
    CrashQuarantine::Parts parts() const
    {
        auto parts = promptBlocks;
        parts.push_back(requestPart());
        return parts;
    }

    auto tied() const { return std::tie(fingerprint, promptBlocks); }
    bool operator==(const CrashTraits& other) const { return tied() == other.tied(); }
    bool operator!=(const CrashTraits& other) const { return !(*this == other); }
};

/// An attempt of a call that an upstream lost.
struct LostAttempt {
    CrashTraits call;
    std::string requestId;
    TimePoint sentAt;
    bool isAnswered = false; ///< it showed before that its prompt crashes no engine
};

/// Relates lost calls to crashes of upstreams, and keeps what crashes them from further ones
/// (CrashQuarantine): requests that are repeated, and prompt blocks. Sends observations to the other
/// entry VMs through its handlers, and compares what it knows with them, since messages may be lost
/// and entry VMs may have started or been away meanwhile. Has the quarantine of a request recorded in
/// the store at once, that of a prompt block once a recheck confirmed it. Used by one event loop.
class CrashContainment {
public:
    explicit CrashContainment(GatewayContext& context);

    /// Returns whether a call may run, perhaps as a recheck of its quarantined parts.
    bool mayRun(const CrashTraits& call);

    /// Returns when a refused call may be tried again, from now, or nothing if that is not soon.
    std::optional<Milliseconds> retryAfter(const CrashTraits& call) const;

    /// Records that a call is sent to an upstream.
    void recordSend(const CrashTraits& call, const std::string& requestId);

    /// Records that a call was not sent after all, for a reason that says nothing of its upstream.
    void recordWithheld(const CrashTraits& call);

    /// Records that a call could not be sent after all, since its upstream is down.
    void recordNotSent(const std::string& address, const CrashTraits& call);

    /// Records that an upstream lost a call.
    void recordLost(const std::string& address, LostAttempt attempt);

    /// Records that an upstream was found to be down: the calls that it lost shortly before, or
    /// loses soon after, may have crashed it.
    void recordUpstreamDown(const std::string& address);

    /// Records that a call did not crash its upstream. \param begunAt  when its first event arrived
    void recordAnswered(const CrashTraits& call, TimePoint begunAt);

    /// Records that a call was answered in full, by an upstream that ran it.
    /// \param begunAt  when its answer began, or earlier
    void recordFinished(const CrashTraits& call, TimePoint begunAt);

    /// Returns how long after its first event a call can no longer have crashed its upstream.
    static Milliseconds crashDelay();

    /// Records what another entry VM observed.
    void receive(const CrashObservation& observation);
    void receive(const RecheckObservation& observation);
    void receive(const AnswerObservation& observation);

    /// Returns what another entry VM needs to find out whether it knows the same, or nothing while
    /// this one suspects nothing.
    std::optional<SuspicionDigest> digest() const;
    /// Compares what another entry VM knows with this one's knowledge. Returns the answers.
    std::vector<PeerMessage> receive(const SuspicionDigest& theirs) const;
    /// Merges what another entry VM suspects. Returns the answers.
    std::vector<PeerMessage> receive(const SuspicionUpdate& update);

    /// Adopts a quarantine that is recorded in the store.
    void adopt(const PromptBlockRecord& record);
    /// Ends a quarantine whose record was removed from the store.
    void release(const std::string& block);

    void expire(TimePoint now);

    /// Called with the address of an upstream that lost a call and is not known to be down, which
    /// recordUpstreamDown() should be told if it is.
    void onUnexplainedLoss(std::function<void(const std::string&)> handler) { m_onUnexplainedLoss = std::move(handler); }
    /// Called with what the other entry VMs should know.
    void onObservation(std::function<void(const PeerMessage&)> handler) { m_onObservation = std::move(handler); }
    /// Called with a quarantine that should be recorded in the store.
    void onConfirmed(std::function<void(const PromptBlockRecord&)> handler) { m_onConfirmed = std::move(handler); }
    /// Called with a block whose record in the store should be removed.
    void onRefuted(std::function<void(const std::string&)> handler) { m_onRefuted = std::move(handler); }

private:
    struct LostCall {
        LostAttempt attempt;
        TimePoint lostAt;
    };

    void recordCrash(const std::string& address, const LostCall& lost);
    void confirm(const std::string& part);
    bool count(const CrashTraits& call, const UpstreamCrash& crash);
    void recordAnswered(const CrashQuarantine::Parts& parts, TimePoint begunAt);
    CrashQuarantine::Cleared clear(const CrashQuarantine::Parts& parts, TimePoint begunAt);
    void recordRelease(const std::string& part);
    void announce(const PeerMessage& message) const;

    GatewayContext& m_context;
    CrashQuarantine m_quarantine;
    std::map<std::string, std::vector<LostCall>> m_lostCalls; // by upstream address
    std::map<std::string, TimePoint> m_downAt; // by upstream address
    std::set<std::string> m_ownRechecks; // parts that a call of this process rechecks
    std::set<std::string> m_recorded; // parts that have a record in the store
    std::function<void(const std::string&)> m_onUnexplainedLoss;
    std::function<void(const PeerMessage&)> m_onObservation;
    std::function<void(const PromptBlockRecord&)> m_onConfirmed;
    std::function<void(const std::string&)> m_onRefuted;
};

}
