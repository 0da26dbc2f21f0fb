#pragma once

#include "../routing/Refusal.h"

#include <list>
#include <map>
#include <optional>

namespace hyssopwick {

/// A request that waits for admission.
struct AdmissionTicket {
    std::uint64_t id = 0;
    std::string account;
    std::int64_t priority = 0; ///< 0 (last) to 9 (first), within the account; unlike in QueuedCall
    TimePoint deadline;
};

/// Limits of one account on this entry VM.
struct AccountLimits {
    double weight = 1;
    double requestsPerSecond = 0; ///< this entry's share of the account's limit; 0: unlimited
};

/// Queued requests that were admitted or refused.
struct AdmissionChanges {
    std::vector<std::uint64_t> admitted;
    std::vector<std::pair<std::uint64_t, Refusal>> refused;
};

/// Decides which requests run now, which wait and which are refused early. Accounts share
/// the capacity by weight (start-time fair queueing, Goyal, Vin and Cheng 1996), so that a
/// large account cannot starve a small one. Within an account, requests are admitted by
/// priority, then by arrival. A request that cannot start before its deadline is refused
/// at once, as not run. Pure.
class AdmissionDecision {
public:
    /// \param capacity  how many requests may run at once
    explicit AdmissionDecision(std::int64_t capacity, TimePoint now);

    void setCapacity(std::int64_t capacity) { m_capacity = std::max<std::int64_t>(1, capacity); }

    void setLimits(const std::string& account, const AccountLimits& limits, TimePoint now);

    /// Queues a request for admission. Call advance() afterwards.
    /// \returns a refusal, or nothing when the request was queued
    std::optional<Refusal> enqueue(const AdmissionTicket& ticket, TimePoint now);

    /// Admits requests up to the capacity and refuses those that can no longer meet their deadline.
    AdmissionChanges advance(TimePoint now);

    /// Frees the slot of an admitted request that ended.
    /// \param serviceTime  how long it ran
    void release(const std::string& account, Milliseconds serviceTime, TimePoint now);

    /// Removes a queued request whose caller disconnected; returns whether it was queued.
    bool withdraw(std::uint64_t id);

    std::int64_t running() const { return m_running; }
    std::size_t queued() const { return m_queuedCount; }

    /// Returns the number of requests of each account since the last takeDemand().
    std::map<std::string, std::int64_t> takeDemand();

private:
    struct Account {
        AccountLimits limits;
        std::list<AdmissionTicket> queue; // by priority, then arrival
        double virtualFinishTime = 0;
        double tokens = 0;
        TimePoint refilledAt;
        std::int64_t demand = 0;
        bool hasLimits = false;
    };

    Account& findOrAddAccount(const std::string& name, TimePoint now);
    bool takeToken(Account& account, TimePoint now);
    double totalQueuedWeight() const;
    Milliseconds estimateWait(const Account& account, const AdmissionTicket& ticket) const;
    Account* nextAccount();

    std::int64_t m_capacity;
    std::int64_t m_running = 0;
    std::size_t m_queuedCount = 0;
    double m_virtualTime = 0;
    double m_meanServiceMilliseconds = 50;
    std::map<std::string, Account> m_accounts;
};

}
