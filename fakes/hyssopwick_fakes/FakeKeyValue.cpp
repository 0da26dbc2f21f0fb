#include "FakeKeyValue.h"

namespace hyssopwick {

namespace {
    constexpr int statusOk = 200;
    constexpr int statusUnavailable = 503;
    constexpr int statusTooManyRequests = 429;
    constexpr int statusNotFound = 404;
    constexpr Milliseconds watchSweepPeriod { 50 };
    constexpr std::size_t maxValueBytes = 1'000'000;
}

FakeKeyValue::FakeKeyValue(std::string address)
    : FakeServer(std::move(address), 3)
{
    scheduler().every(watchSweepPeriod, [this] {
        std::lock_guard<std::mutex> lock(m_mutex);
        answerDueWatches();
    });
}

std::map<std::string, std::uint64_t> FakeKeyValue::calls() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_calls;
}

std::uint64_t FakeKeyValue::takePeakCallsPerSecond()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto peak = std::max(m_peak, m_callsInSecond);
    m_peak = 0;
    m_callsInSecond = 0;
    return peak;
}

void FakeKeyValue::count(const std::string& kind)
{
    ++m_calls[kind];
    const auto second = unixNow() / 1000;
    if (second != m_currentSecond) {
        m_peak = std::max(m_peak, m_callsInSecond);
        m_currentSecond = second;
        m_callsInSecond = 0;
    }
    ++m_callsInSecond;
}

bool FakeKeyValue::isOverLimit()
{
    const auto limit = fault("calls_per_second");
    return limit > 0 && static_cast<double>(m_callsInSecond) > limit;
}

void FakeKeyValue::answer(const HttpResponderPointer& responder, std::string body, bool isWrite)
{
    const auto delay = Milliseconds(static_cast<std::int64_t>(fault("slow_ms")));
    const bool isLost = isWrite && m_random.unit() < fault("lose_write_answers");
    if (isLost)
        return;
    if (delay == Milliseconds(0))
        responder->send(statusOk, std::move(body));
    else
        scheduler().at(monotonicNow() + delay, [responder, body = std::move(body)] { responder->send(statusOk, body); });
}

void FakeKeyValue::handle(HttpRequest request, HttpResponderPointer responder)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    if (request.path == "/stats") {
        responder->send(statusOk, nlohmann::json { { "calls", m_calls }, { "peak_calls_per_second", std::max(m_peak, m_callsInSecond) } }.dump());
        return;
    }
    count(request.path.substr(request.path.rfind('/') + 1));
    if (fault("outage") > 0) {
        responder->send(statusUnavailable, "outage");
        return;
    }
    if (isOverLimit()) {
        responder->send(statusTooManyRequests, "over the limit");
        return;
    }
    const auto json = nlohmann::json::parse(request.body, nullptr, false);
    if (!json.is_object())
        responder->send(statusNotFound, "malformed");
    else if (request.path == "/v1/read")
        answer(responder, read(json.value("key", "")).dump(), false);
    else if (request.path == "/v1/swap")
        answer(responder, swap(json).dump(), true);
    else if (request.path == "/v1/remove")
        answer(responder, remove(json).dump(), true);
    else if (request.path == "/v1/list")
        answer(responder, list(json.value("prefix", "")).dump(), false);
    else if (request.path == "/v1/watch")
        watch(json, std::move(responder));
    else
        responder->send(statusNotFound, "not found");
}

nlohmann::json FakeKeyValue::read(const std::string& key)
{
    const auto found = m_stored.find(key);
    if (found == m_stored.end() || monotonicNow() >= found->second.expiresAt)
        return { { "revision", 0 }, { "value", "" } };
    return { { "revision", found->second.revision }, { "value", found->second.value } };
}

nlohmann::json FakeKeyValue::swap(const nlohmann::json& request)
{
    const auto key = request.value("key", "");
    const auto current = read(key)["revision"].get<KeyRevision>();
    const auto value = request.value("value", "");
    if (current != request.value("expected", KeyRevision { 0 }) || value.size() > maxValueBytes)
        return { { "swapped", false }, { "revision", current } };
    const auto timeToLive = request.value("ttl_ms", 0);
    m_stored[key] = { value, ++m_revision, timeToLive > 0 ? monotonicNow() + Milliseconds(timeToLive) : TimePoint::max() };
    answerDueWatches();
    return { { "swapped", true }, { "revision", m_revision } };
}

nlohmann::json FakeKeyValue::remove(const nlohmann::json& request)
{
    const auto key = request.value("key", "");
    const auto current = read(key)["revision"].get<KeyRevision>();
    if (current == 0 || current != request.value("expected", KeyRevision { 0 }))
        return { { "swapped", false }, { "revision", current } };
    m_stored.erase(key);
    return { { "swapped", true }, { "revision", ++m_revision } };
}

nlohmann::json FakeKeyValue::list(const std::string& prefix)
{
    auto keys = nlohmann::json::array();
    for (auto stored = m_stored.lower_bound(prefix); stored != m_stored.end() && stored->first.rfind(prefix, 0) == 0; ++stored)
        keys.push_back(stored->first);
    return { { "keys", keys } };
}

void FakeKeyValue::watch(const nlohmann::json& request, HttpResponderPointer responder)
{
    m_watches.push_back({ request.value("key", ""), request.value("after", KeyRevision { 0 }), monotonicNow() + Milliseconds(request.value("wait_ms", 0)), std::move(responder) });
    answerDueWatches();
}

void FakeKeyValue::answerDueWatches()
{
    const auto now = monotonicNow();
    std::vector<Watch> remaining;
    for (auto& watch : m_watches) {
        const auto current = read(watch.key);
        if (fault("outage") > 0)
            watch.responder->send(statusUnavailable, "outage");
        else if (current["revision"].get<KeyRevision>() > watch.after || now >= watch.deadline)
            answer(watch.responder, current.dump(), false);
        else
            remaining.push_back(std::move(watch));
    }
    m_watches = std::move(remaining);
}

}
