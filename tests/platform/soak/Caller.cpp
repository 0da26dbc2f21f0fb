#include "Caller.h"

#include <cmath>

namespace hyssopwick::soak {

namespace {
    constexpr unsigned maxAttempts = 2;
    // Callers reuse connections up to four fifths of the configured idle timeout.
    constexpr double maxIdleSeconds = 12;
    constexpr Milliseconds retryDelay { 30 };
    constexpr Milliseconds streamTimeout { 6000 };
    constexpr Milliseconds plainTimeout { 1500 };
    constexpr Milliseconds streamPause { 4000 };
    constexpr unsigned tokensOfEvent = 5;
    constexpr double minAnswerTokens = 8;
    constexpr double maxAnswerTokens = 400;
    constexpr unsigned sharedTokens = 100;
    constexpr unsigned sharedBlockCount = 500;

    std::string newRequestId()
    {
        static std::uint64_t next = std::random_device {}();
        char text[20];
        std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(next++ * 0x9e3779b97f4a7c15u));
        return text;
    }

    AttemptEnd attemptEndOf(ExchangeEnd end)
    {
        switch (end) {
        case ExchangeEnd::Complete:
            return AttemptEnd::Answered;
        case ExchangeEnd::Closed:
            return AttemptEnd::Closed;
        case ExchangeEnd::Reset:
            return AttemptEnd::Reset;
        case ExchangeEnd::Invalid:
            return AttemptEnd::Invalid;
        case ExchangeEnd::NotConnected:
            break;
        }
        return AttemptEnd::NotConnected;
    }

    std::string textOf(const CallPlan& plan, const std::string& id, Milliseconds left)
    {
        Fields fields { { "Host", plan.host }, { "Request-Id", id }, { "Deadline-Ms", std::to_string(left.count()) }, { "Authorization", "Bearer key-of-tenant-a" } };
        if (plan.isStream()) {
            fields.emplace_back("Model", "m0");
            fields.emplace_back("Token-Counts", std::to_string(plan.promptTokens) + "," + std::to_string(plan.answerTokens));
            fields.emplace_back("Prompt-Prefix", std::to_string(plan.sharedBlock) + ":" + std::to_string(sharedTokens) + "," + id + ":" + std::to_string(plan.promptTokens - sharedTokens));
        }
        return requestText("POST", plan.target, fields, "prompt of " + id);
    }
}

CallPlan CallPlan::stream(Random& random)
{
    CallPlan plan;
    const double share = random.between(0, 1);
    plan.route = share < 0.4 ? "draft" : share < 0.75 ? "replan"
                                                      : "notice";
    plan.kind = plan.route == "notice" ? RouteKind::Stream : RouteKind::ResumableStream;
    plan.host = "models.example";
    plan.sharedBlock = random.below(sharedBlockCount);
    plan.promptTokens = 200 + random.below(2000);
    plan.answerTokens = static_cast<unsigned>(std::exp(random.between(std::log(minAnswerTokens), std::log(maxAnswerTokens))));
    const auto events = (std::max(1u, static_cast<unsigned>(plan.answerTokens * random.between(0.5, 1))) + tokensOfEvent - 1) / tokensOfEvent;
    plan.target = "/" + plan.route + "/a?events=" + std::to_string(events);
    plan.timeout = streamTimeout;
    plan.maxPause = streamPause;
    return plan;
}

CallPlan CallPlan::plain(Random& random)
{
    CallPlan plan;
    plan.route = random.chance(0.5) ? "book" : "read";
    plan.kind = plan.route == "book" ? RouteKind::Unsafe : RouteKind::Safe;
    plan.host = "permits.example";
    const double workMs = random.chance(0.1) ? random.between(200, 800) : random.between(10, 80);
    plan.target = "/" + plan.route + "/a?work=" + std::to_string(static_cast<unsigned>(workMs));
    plan.timeout = plan.maxPause = plainTimeout;
    return plan;
}

struct Caller::Exchange {
    Exchange(EventLoop& loop, const CallPlan& call, Attempt& record)
        : plan(call)
        , attempt(record)
        , timer(loop)
    {
    }

    CallPlan plan;
    Attempt& attempt;
    Timer timer;
    ClientConnectionPointer connection;
    std::size_t scannedBytes = 0;
    TimePoint lastProgressAt;
};

Caller::Caller(EventLoop& loop, Journal& journal, Random& random, std::vector<std::string> directories, const std::map<std::string, unsigned>& entryOfAddress, Traits traits)
    : m_loop(loop)
    , m_journal(journal)
    , m_random(random)
    , m_entryOfAddress(entryOfAddress)
    , m_traits(traits)
    , m_addresses(loop, std::move(directories), traits.lifetimeFactor)
{
}

ClientConnectionPointer Caller::takeKept()
{
    const auto isUnusable = [this](const ClientConnectionPointer& connection) { return !connection->isOpen() || !m_addresses.isListed(connection->address()) || secondsBetween(connection->idleSince(), now()) > maxIdleSeconds; };
    for (auto& connection : m_kept) {
        if (isUnusable(connection))
            std::exchange(connection, nullptr)->close();
    }
    m_kept.erase(std::remove(m_kept.begin(), m_kept.end(), nullptr), m_kept.end());
    if (m_kept.empty() || !m_random.chance(m_traits.keptShare))
        return nullptr;
    const auto chosen = m_kept.begin() + m_random.below(m_kept.size());
    auto connection = *chosen;
    m_kept.erase(chosen);
    return connection;
}

void Caller::attempt(const CallPlan& plan, unsigned number, TimePoint deadline)
{
    m_addresses.refresh();
    if (m_addresses.isEmpty())
        return;
    auto connection = number == 1 ? takeKept() : nullptr; // repeats use a new connection
    const bool isKept = connection != nullptr;
    if (!connection)
        connection = std::make_shared<ClientConnection>(m_loop, m_addresses.choose(m_random), m_traits.readsSlowly);
    Attempt attempt;
    attempt.id = newRequestId();
    attempt.route = plan.route;
    attempt.entry = m_entryOfAddress.at(connection->address());
    attempt.isOnKeptConnection = isKept;
    attempt.isSlowReader = m_traits.readsSlowly;
    attempt.number = number;
    attempt.beganAt = now();
    attempt.deadline = deadline;
    const auto exchange = std::make_shared<Exchange>(m_loop, plan, m_journal.addAttempt(std::move(attempt)));
    exchange->connection = connection;
    exchange->lastProgressAt = now();
    const auto left = std::chrono::duration_cast<Milliseconds>(deadline - now());
    watchDeadline(exchange);
    connection->exchange(textOf(plan, exchange->attempt.id, left), { [exchange] { exchange->attempt.sentAt = now(); }, [this, exchange] { handleBytes(exchange); }, [this, exchange](ExchangeEnd end) { handleEnd(exchange, end); } });
}

void Caller::handleBytes(const ExchangePointer& exchange)
{
    auto& attempt = exchange->attempt;
    if (!exchange->connection->hasHead())
        return;
    const auto& response = exchange->connection->response();
    if (!attempt.headAt)
        attempt.headAt = now();
    attempt.status = response.status();
    if (!exchange->plan.isStream() || attempt.status != 200)
        return;
    constexpr std::string_view eventEnd = "\n\n";
    for (auto at = response.body.find(eventEnd, exchange->scannedBytes); at != std::string::npos; at = response.body.find(eventEnd, exchange->scannedBytes)) {
        exchange->scannedBytes = at + eventEnd.size();
        exchange->lastProgressAt = now();
        attempt.eventsAt.push_back(now());
    }
}

void Caller::watchDeadline(const ExchangePointer& exchange)
{
    // Reading slowly, the caller is itself the reason for pauses.
    const auto leavesAt = m_traits.readsSlowly ? TimePoint::max() : exchange->lastProgressAt + exchange->plan.maxPause;
    exchange->timer.expires_at(std::min(exchange->attempt.deadline, leavesAt));
    exchange->timer.async_wait([this, exchange](boost::system::error_code error) {
        if (error || exchange->attempt.endedAt)
            return;
        const bool isDeadline = now() >= exchange->attempt.deadline;
        if (!isDeadline && now() < exchange->lastProgressAt + exchange->plan.maxPause)
            return watchDeadline(exchange);
        exchange->connection->close();
        finish(exchange, isDeadline ? AttemptEnd::Deadline : AttemptEnd::CallerLeft);
    });
}

void Caller::handleEnd(const ExchangePointer& exchange, ExchangeEnd end)
{
    if (exchange->connection->hasHead())
        exchange->attempt.status = exchange->connection->response().status();
    if (end == ExchangeEnd::NotConnected)
        m_addresses.recordFailure(exchange->connection->address());
    else if (end == ExchangeEnd::Complete && exchange->connection->isOpen())
        m_kept.push_back(exchange->connection);
    finish(exchange, attemptEndOf(end));
    retryIfAllowed(exchange);
}

void Caller::finish(const ExchangePointer& exchange, AttemptEnd end)
{
    exchange->attempt.end = end;
    exchange->attempt.endedAt = now();
    exchange->timer.cancel();
    exchange->connection = nullptr;
}

void Caller::retryIfAllowed(const ExchangePointer& exchange)
{
    const auto& attempt = exchange->attempt;
    const auto status = attempt.status;
    const bool isAnswered = attempt.end == AttemptEnd::Answered;
    const bool isPromised = isAnswered && (status == 408 || status == 421 || status == 429 || status == 503);
    const bool hasFailed = !isAnswered || status >= 500;
    const bool mayRepeat = isPromised || attempt.end == AttemptEnd::NotConnected || (hasFailed && exchange->plan.isRepeatable() && attempt.eventsAt.empty());
    if (!mayRepeat || attempt.number >= maxAttempts)
        return;
    runAfter(m_loop, retryDelay, [this, plan = exchange->plan, number = attempt.number + 1, deadline = attempt.deadline] {
        if (now() + retryDelay < deadline)
            this->attempt(plan, number, deadline);
    });
}

}
