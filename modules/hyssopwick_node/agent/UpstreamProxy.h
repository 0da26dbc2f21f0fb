#pragma once

#include "../runtime/NodeContext.h"

#include <hyssopwick_requests.h>

namespace hyssopwick {

/// Headers of a call that an entry VM forwards to an upstream VM, in lower case.
namespace proxyHeader {
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

/// Proxy in front of the local engine or plain service: forwards the calls that
/// UpstreamAdmissionDecision admits, relays the answers, and cancels a call when its entry VM
/// disconnects. Thread-safe.
class UpstreamProxy {
public:
    explicit UpstreamProxy(NodeContext& context);

    /// Handles POST /door/...; a refusal states in a header whether the call was run.
    void handle(HttpRequest request, HttpResponderPointer responder);

    /// Sets the version in service of each placement, by the placement's name.
    void setServing(const std::map<std::string, std::string>& versions);

    /// Sets how many calls may run at once.
    void setCapacity(std::int64_t capacity);

    /// Refuses new calls until cancelLeaving().
    void leave();
    void cancelLeaving();
    bool isLeaving() const;
    std::int64_t inFlight() const;
    std::int64_t capacity() const;
    std::int64_t inFlightOn(const std::string& placement) const;

private:
    struct Call;

    void refuse(const std::string& attempt, const Refusal& refusal, HttpResponder& responder);
    void forward(const std::shared_ptr<Call>& call);
    void finish(const std::shared_ptr<Call>& call, Outcome<HttpClientResponse> answer);
    void watchEntryConnection(const std::shared_ptr<Call>& call);

    NodeContext& m_context;
    mutable std::mutex m_mutex; // guards m_decision
    UpstreamAdmissionDecision m_decision;
};

}
