#pragma once

#include "../runtime/NodeContext.h"

#include <hyssopwick_requests.h>

namespace hyssopwick {

/// Headers of a call that an entry VM hands to an upstream VM, in lower case.
namespace doorHeader {
    constexpr const char* attempt = "x-hyssopwick-attempt";
    constexpr const char* request = "x-hyssopwick-request";
    constexpr const char* placement = "x-hyssopwick-placement";
    constexpr const char* version = "x-hyssopwick-version";
    constexpr const char* identity = "x-hyssopwick-identity";
    constexpr const char* holder = "x-hyssopwick-holder";
    constexpr const char* alone = "x-hyssopwick-alone";
    constexpr const char* deadline = "x-hyssopwick-deadline-ms"; ///< remaining time
    constexpr const char* run = "x-hyssopwick-run";
    constexpr const char* reason = "x-hyssopwick-reason";
    constexpr const char* inFlight = "x-hyssopwick-in-flight";
}

/// The door in front of the local engine or plain service: the shell of
/// UpstreamAdmissionDecision. It hands accepted calls over, relays the answers, and cancels at
/// the upstream when the entry VM goes away. Thread-safe.
class AgentDoor {
public:
    explicit AgentDoor(NodeContext& context);

    /// Handles POST /door/...; answers refusals with the run state in a header.
    void handle(HttpRequest request, HttpResponderPointer responder);

    /// Sets the version in service of each placement.
    void setServing(const std::map<std::string, std::string>& versions);

    /// Sets the calls that may run at once.
    void setCapacity(std::int64_t capacity);

    void leave();
    void enter();
    bool isLeaving() const;
    std::int64_t inFlight() const;
    std::int64_t capacity() const;
    std::int64_t inFlightOn(const std::string& placement) const;

private:
    struct Call;

    void refuse(const std::string& attempt, const Refusal& refusal, HttpResponder& responder);
    void handOver(const std::shared_ptr<Call>& call);
    void finish(const std::shared_ptr<Call>& call, Outcome<HttpClientResponse> answer);
    void watchCaller(const std::shared_ptr<Call>& call);

    NodeContext& m_context;
    mutable std::mutex m_mutex; // guards m_decision
    UpstreamAdmissionDecision m_decision;
};

}
