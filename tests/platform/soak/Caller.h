#pragma once

#include "AddressBook.h"
#include "Journal.h"

#include <map>

namespace hyssopwick::soak {

enum class RouteKind {
    Safe,
    Unsafe,
    Stream,
    ResumableStream
};

/// What one request asks for.
struct CallPlan {
    std::string route;
    std::string host;
    RouteKind kind = RouteKind::Safe;
    std::string target;
    unsigned sharedBlock = 0; ///< the part of its prompt that other requests have too
    unsigned promptTokens = 0;
    unsigned answerTokens = 0;
    Milliseconds timeout { 0 };
    Milliseconds maxPause { 0 }; ///< between events, before the caller leaves

    /// Returns whether it may be sent again after any failure.
    bool isRepeatable() const { return kind == RouteKind::Safe || kind == RouteKind::ResumableStream; }
    bool isStream() const { return kind == RouteKind::Stream || kind == RouteKind::ResumableStream; }

    static CallPlan stream(Random& random);
    static CallPlan plain(Random& random);
};

/// A client machine: its addresses, and the connections that it keeps.
class Caller {
public:
    struct Traits {
        unsigned lifetimeFactor = 1;
        bool readsSlowly = false;
        double keptShare = 0.8; ///< of its requests go to a kept connection if there is one
    };

    /// \param entryOfAddress  the number of the entry that has an address for callers
    Caller(EventLoop& loop, Journal& journal, Random& random, std::vector<std::string> directories, const std::map<std::string, unsigned>& entryOfAddress, Traits traits);

    void refreshAddresses() { m_addresses.refresh(); }

    /// Sends a request, and once more if it fails and that is allowed.
    void send(const CallPlan& plan) { attempt(plan, 1, now() + plan.timeout); }

private:
    struct Exchange;
    using ExchangePointer = std::shared_ptr<Exchange>;

    void attempt(const CallPlan& plan, unsigned number, TimePoint deadline);
    ClientConnectionPointer takeKept();
    void handleBytes(const ExchangePointer& exchange);
    void watchDeadline(const ExchangePointer& exchange);
    void handleEnd(const ExchangePointer& exchange, ExchangeEnd end);
    void finish(const ExchangePointer& exchange, AttemptEnd end);
    void retryIfAllowed(const ExchangePointer& exchange);

    EventLoop& m_loop;
    Journal& m_journal;
    Random& m_random;
    const std::map<std::string, unsigned>& m_entryOfAddress;
    Traits m_traits;
    AddressBook m_addresses;
    std::vector<ClientConnectionPointer> m_kept;
};

}
