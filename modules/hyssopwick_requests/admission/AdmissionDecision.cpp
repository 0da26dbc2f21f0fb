#include "AdmissionDecision.h"

#include <algorithm>

namespace hyssopwick {

namespace {
    constexpr std::size_t maxQueuePerAccount = 512;
    constexpr double burstSeconds = 0.25;
    constexpr double minBurst = 1;
    // A request starts only if this share of the mean service time is left before its
    // deadline: less than the whole, since shorter requests may still finish in time.
    constexpr double requiredServiceTimeShare = 0.7;
    constexpr double serviceTimeSmoothing = 0.1;
    constexpr Milliseconds minRetryAfter { 50 };
    constexpr Milliseconds maxRetryAfter { 30000 };

    Milliseconds clampRetryAfter(double milliseconds)
    {
        return std::clamp(Milliseconds(static_cast<std::int64_t>(milliseconds)), minRetryAfter, maxRetryAfter);
    }
}

AdmissionDecision::AdmissionDecision(std::int64_t capacity, TimePoint)
    : m_capacity(capacity)
{
}

AdmissionDecision::Account& AdmissionDecision::findOrAddAccount(const std::string& name, TimePoint now)
{
    const auto [found, isNew] = m_accounts.try_emplace(name);
    if (isNew)
        found->second.refilledAt = now;
    return found->second;
}

void AdmissionDecision::setLimits(const std::string& account, const AccountLimits& limits, TimePoint now)
{
    auto& state = findOrAddAccount(account, now);
    if (!state.hasLimits)
        state.tokens = std::max(minBurst, limits.requestsPerSecond * burstSeconds);
    state.hasLimits = true;
    state.limits = limits;
}

bool AdmissionDecision::takeToken(Account& account, TimePoint now)
{
    const auto rate = account.limits.requestsPerSecond;
    const double seconds = std::chrono::duration<double>(now - account.refilledAt).count();
    account.refilledAt = now;
    if (rate <= 0)
        return true;
    account.tokens = std::min(std::max(minBurst, rate * burstSeconds), account.tokens + seconds * rate);
    if (account.tokens < 1)
        return false;
    account.tokens -= 1;
    return true;
}

double AdmissionDecision::totalQueuedWeight() const
{
    double total = 0;
    for (const auto& [name, account] : m_accounts)
        total += account.queue.empty() ? 0 : account.limits.weight;
    return total;
}

// An account's queue drains at the account's share of the capacity.
Milliseconds AdmissionDecision::estimateWait(const Account& account, const AdmissionTicket& ticket) const
{
    std::size_t ahead = 0;
    for (const auto& waiting : account.queue)
        ahead += waiting.priority >= ticket.priority;
    if (m_running + static_cast<std::int64_t>(m_queuedCount) < m_capacity)
        return Milliseconds(0);
    const double weights = totalQueuedWeight() + (account.queue.empty() ? account.limits.weight : 0);
    const double share = std::max(account.limits.weight / std::max(weights, account.limits.weight), 0.001);
    const double drainRate = share * static_cast<double>(m_capacity) * 1000 / std::max(1.0, m_meanServiceMilliseconds);
    return Milliseconds(static_cast<std::int64_t>(1000 * static_cast<double>(ahead + 1) / drainRate));
}

std::optional<Refusal> AdmissionDecision::enqueue(const AdmissionTicket& ticket, TimePoint now)
{
    auto& account = findOrAddAccount(ticket.account, now);
    ++account.demand;
    if (now >= ticket.deadline)
        return Refusal { RefusalReason::DeadlinePassed, RunState::NotRun, Milliseconds(0), "the deadline had passed on arrival", {} };
    const auto wait = estimateWait(account, ticket);
    if (account.queue.size() >= maxQueuePerAccount)
        return Refusal { RefusalReason::Overloaded, RunState::NotRun, clampRetryAfter(static_cast<double>(wait.count())), "the account's queue is full", {} };
    if (now + wait >= ticket.deadline)
        return Refusal { RefusalReason::DeadlineUnreachable, RunState::NotRun, clampRetryAfter(static_cast<double>(wait.count())),
            "the request would wait " + std::to_string(wait.count()) + " ms", {} };
    if (!takeToken(account, now)) {
        const auto delay = 1000 * (1 - account.tokens) / account.limits.requestsPerSecond;
        return Refusal { RefusalReason::RateLimited, RunState::NotRun, clampRetryAfter(delay), "the account's request rate is spent", {} };
    }
    if (account.queue.empty())
        account.virtualFinishTime = std::max(account.virtualFinishTime, m_virtualTime);
    const auto position = std::find_if(account.queue.begin(), account.queue.end(),
        [&](const AdmissionTicket& waiting) { return waiting.priority < ticket.priority; });
    account.queue.insert(position, ticket);
    ++m_queuedCount;
    return std::nullopt;
}

AdmissionDecision::Account* AdmissionDecision::nextAccount()
{
    Account* next = nullptr;
    for (auto& [name, account] : m_accounts) {
        if (!account.queue.empty() && (!next || account.virtualFinishTime < next->virtualFinishTime))
            next = &account;
    }
    return next;
}

AdmissionChanges AdmissionDecision::advance(TimePoint now)
{
    AdmissionChanges changes;
    for (auto& [name, account] : m_accounts) {
        for (auto ticket = account.queue.begin(); ticket != account.queue.end();) {
            if (now < ticket->deadline) {
                ++ticket;
                continue;
            }
            changes.refused.emplace_back(ticket->id,
                Refusal { RefusalReason::DeadlinePassed, RunState::NotRun, clampRetryAfter(m_meanServiceMilliseconds), "the deadline passed in the queue", {} });
            ticket = account.queue.erase(ticket);
            --m_queuedCount;
        }
    }
    while (m_running < m_capacity) {
        auto* account = nextAccount();
        if (!account)
            break;
        const auto& ticket = account->queue.front();
        // A request that cannot finish in time would occupy a slot for nothing.
        if (now + Milliseconds(static_cast<std::int64_t>(requiredServiceTimeShare * m_meanServiceMilliseconds)) >= ticket.deadline) {
            changes.refused.emplace_back(ticket.id, Refusal { RefusalReason::DeadlineUnreachable, RunState::NotRun, clampRetryAfter(m_meanServiceMilliseconds), "too little time is left to run it", {} });
            account->queue.pop_front();
            --m_queuedCount;
            continue;
        }
        m_virtualTime = std::max(m_virtualTime, account->virtualFinishTime);
        account->virtualFinishTime += 1 / std::max(0.001, account->limits.weight);
        changes.admitted.push_back(account->queue.front().id);
        account->queue.pop_front();
        --m_queuedCount;
        ++m_running;
    }
    return changes;
}

void AdmissionDecision::release(const std::string&, Milliseconds serviceTime, TimePoint)
{
    if (m_running > 0)
        --m_running;
    m_meanServiceMilliseconds += serviceTimeSmoothing * (static_cast<double>(serviceTime.count()) - m_meanServiceMilliseconds);
}

bool AdmissionDecision::withdraw(std::uint64_t id)
{
    for (auto& [name, account] : m_accounts) {
        const auto found = std::find_if(account.queue.begin(), account.queue.end(), [id](const AdmissionTicket& ticket) { return ticket.id == id; });
        if (found == account.queue.end())
            continue;
        account.queue.erase(found);
        --m_queuedCount;
        return true;
    }
    return false;
}

std::map<std::string, std::int64_t> AdmissionDecision::takeDemand()
{
    std::map<std::string, std::int64_t> demand;
    for (auto& [name, account] : m_accounts) {
        demand[name] = account.demand;
        account.demand = 0;
    }
    return demand;
}

}
