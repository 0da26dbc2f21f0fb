#include "FakeCaller.h"

#include "FakeEngine.h"

#include <algorithm>
#include <thread>

namespace hyssopwick {

namespace {
    constexpr int statusOk = 200;
    constexpr unsigned maxAttempts = 6;
    constexpr Milliseconds addressTimeout { 1000 };
    constexpr Milliseconds defaultRetryDelay { 150 };
    constexpr Milliseconds pollPeriod { 20 };
    constexpr Milliseconds deadlineSlack { 500 };
}

struct FakeCaller::Request {
    std::string id;
    std::string path;
    std::string body;
    std::string prompt;
    std::string key;
    std::string address;
    UnixMilliseconds issuedAt = 0;
    TimePoint startedAt;
    TimePoint firstTokenAt;
    TimePoint deadline;
    unsigned attempts = 0;
    std::uint64_t tokens = 0;
    std::string version;
    std::string unparsed;
    std::string error;
    bool hasWrongToken = false;
    bool hasEndMarker = false;
    bool isSentTwice = false;
    std::function<void(int)> onDone;
};

FakeCaller::FakeCaller(FakeCallerOptions options, EventLog* log)
    : m_options(std::move(options))
    , m_log(log)
    , m_random(m_options.seed)
    , m_runId(m_options.account + "-" + std::to_string(unixNow() % 100'000'000) + "-" + std::to_string(m_options.seed))
{
}

FakeCaller::~FakeCaller()
{
    m_scheduler.stop();
    m_client.stop();
}

void FakeCaller::start()
{
    const auto now = monotonicNow();
    if (m_options.completionsPerSecond > 0)
        scheduleNext(false, now);
    if (m_options.bookingsPerSecond > 0)
        scheduleNext(true, now);
}

// Arrivals are spaced evenly with jitter and do not wait for answers.
void FakeCaller::scheduleNext(bool isBooking, TimePoint previous)
{
    const double rate = isBooking ? m_options.bookingsPerSecond : m_options.completionsPerSecond;
    double jitter = 1;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        if (m_isStopping)
            return;
        jitter = 0.5 + m_random.unit();
    }
    const auto next = previous + std::chrono::microseconds(static_cast<std::int64_t>(1e6 * jitter / rate));
    m_scheduler.at(next, [this, isBooking, next] {
        send(isBooking ? makeBooking() : makeCompletion());
        scheduleNext(isBooking, next);
    });
}

FakeCaller::RequestPointer FakeCaller::makeCompletion()
{
    auto request = std::make_shared<Request>();
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto number = m_nextNumber++;
    request->id = m_runId + "-c" + std::to_string(number);
    request->path = "/v1/completions";
    request->prompt = std::string(m_options.prefixBytes, static_cast<char>('a' + m_random.below(std::max(1u, m_options.sharedPrefixes)))) + " question " + request->id;
    return request;
}

FakeCaller::RequestPointer FakeCaller::makeBooking()
{
    auto request = std::make_shared<Request>();
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto number = m_nextNumber++;
    request->id = m_runId + "-b" + std::to_string(number);
    request->path = m_options.bookingPath;
    request->body = nlohmann::json { { "permit", request->id } }.dump();
    request->key = "key-" + request->id;
    request->isSentTwice = m_random.unit() < m_options.repeatShare;
    return request;
}

void FakeCaller::sendCompletion(const std::string& prompt, std::function<void(int)> onDone)
{
    auto request = makeCompletion();
    request->prompt = prompt;
    request->onDone = std::move(onDone);
    send(request);
}

void FakeCaller::send(const RequestPointer& request)
{
    request->startedAt = monotonicNow();
    request->deadline = request->startedAt + m_options.deadline;
    request->issuedAt = unixNow();
    if (!request->prompt.empty())
        request->body = nlohmann::json { { "model", m_options.model }, { "prompt", request->prompt }, { "max_tokens", m_options.tokens }, { "stream", true } }.dump();
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        ++m_counts.sent;
        ++m_inProgress;
    }
    refreshAddresses([this, request] {
        std::string first;
        std::string second;
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            first = m_addresses.empty() ? m_options.entries[m_random.below(m_options.entries.size())] : m_addresses[request->attempts % m_addresses.size()];
            second = m_addresses.size() < 2 ? first : m_addresses[(request->attempts + 1) % m_addresses.size()];
        }
        if (request->isSentTwice && request->attempts == 0) {
            // Sends the same call concurrently through another entry VM.
            auto duplicate = std::make_shared<Request>(*request);
            duplicate->id += "r";
            {
                std::lock_guard<std::mutex> lock(m_mutex);
                ++m_counts.sent;
                ++m_inProgress;
            }
            sendTo(duplicate, second);
        }
        sendTo(request, first);
    });
}

void FakeCaller::refreshAddresses(std::function<void()> then)
{
    std::string askedEntry;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        if (monotonicNow() < m_addressesValidUntil) {
            askedEntry.clear();
        } else {
            const auto& pool = m_addresses.empty() || m_random.below(2) == 0 ? m_options.entries : m_addresses;
            askedEntry = pool[m_random.below(pool.size())];
        }
    }
    if (askedEntry.empty()) {
        then();
        return;
    }
    HttpClientRequest request;
    request.method = "GET";
    request.url = "http://" + askedEntry + "/v1/address";
    request.deadline = monotonicNow() + addressTimeout;
    m_client.start(std::move(request), [this, then = std::move(then)](Outcome<HttpClientResponse> answer) {
        const auto json = answer ? nlohmann::json::parse(answer.value().body, nullptr, false) : nlohmann::json();
        if (json.is_object() && json.contains("entries") && !json["entries"].empty()) {
            std::lock_guard<std::mutex> lock(m_mutex);
            m_addresses.clear();
            for (const auto& entry : json["entries"])
                m_addresses.push_back(entry.value("address", ""));
            m_addressesValidUntil = monotonicNow() + Milliseconds(json.value("valid_until", UnixMilliseconds { 0 }) - unixNow());
        }
        then();
    });
}

void FakeCaller::sendTo(const RequestPointer& request, const std::string& address)
{
    ++request->attempts;
    request->address = address;
    request->tokens = 0;
    request->version.clear();
    request->unparsed.clear();
    request->error.clear();
    request->hasWrongToken = false;
    request->hasEndMarker = false;
    request->firstTokenAt = TimePoint();
    HttpClientRequest http;
    http.method = "POST";
    http.url = "http://" + address + request->path;
    http.headers = { { "X-Account", m_options.account }, { "Authorization", "Bearer " + m_options.secret }, { "X-Request-Id", request->id }, { "Content-Type", "application/json" } };
    const auto remaining = millisecondsBetween(monotonicNow(), request->deadline);
    http.headers.emplace_back("X-Deadline", std::to_string(unixNow() + remaining));
    if (!request->key.empty()) {
        http.headers.emplace_back("Idempotency-Key", request->key);
        http.headers.emplace_back("X-Issued-At", std::to_string(request->issuedAt));
    }
    http.body = std::make_shared<const std::string>(request->body);
    http.deadline = request->deadline + deadlineSlack;
    HttpClient::DataHandler onData;
    if (request->key.empty())
        onData = [this, request](const HttpClientResponse&, std::string_view data) { return receive(request, data); };
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        ++m_counts.byEntry[address];
    }
    m_client.start(
        std::move(http), [this, request](Outcome<HttpClientResponse> answer) { handleAnswer(request, std::move(answer)); }, std::move(onData));
}

bool FakeCaller::receive(const RequestPointer& request, std::string_view data)
{
    if (request->firstTokenAt == TimePoint())
        request->firstTokenAt = monotonicNow();
    request->unparsed += data;
    for (auto end = request->unparsed.find("\n\n"); end != std::string::npos; end = request->unparsed.find("\n\n")) {
        const auto event = request->unparsed.substr(0, end);
        request->unparsed.erase(0, end + 2);
        if (event == "data: [DONE]") {
            request->hasEndMarker = true;
            continue;
        }
        if (event.rfind("event: error", 0) == 0) {
            const auto json = nlohmann::json::parse(event.substr(event.find("data: ") + 6), nullptr, false);
            request->error = json["error"].value("reason", "unnamed");
            continue;
        }
        const auto token = nlohmann::json::parse(event.substr(6), nullptr, false);
        if (request->version.empty())
            request->version = token.value("version", "");
        const bool isExpected = token.value("version", "") == request->version && token.value("index", std::uint64_t { 0 }) == request->tokens
            && token.value("token", "") == fakeToken(request->prompt, request->version, request->tokens);
        request->hasWrongToken = request->hasWrongToken || !isExpected;
        ++request->tokens;
    }
    return true;
}

void FakeCaller::handleAnswer(const RequestPointer& request, Outcome<HttpClientResponse> answer)
{
    if (!answer) {
        const bool isNotSent = answer.error().code == ErrorCode::Unavailable;
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            m_addressesValidUntil = TimePoint();
        }
        // A retry is safe: bookings carry the same idempotency key, and completions are idempotent.
        retryOrRecord(request, isNotSent ? "no-connection" : "connection-lost", true, defaultRetryDelay);
        return;
    }
    const auto& response = answer.value();
    const auto echoed = response.headers.find("x-request-id");
    const bool isForRequest = echoed != response.headers.end() && echoed->second == request->id;
    if (response.status == statusOk && request->error.empty()) {
        const bool isWhole = isForRequest && (request->key.empty() ? request->hasEndMarker && !request->hasWrongToken && request->tokens == m_options.tokens : response.body.find("\"done\":true") != std::string::npos);
        if (m_log)
            m_log->write("caller.answered", { { "request", request->id }, { "whole", isWhole ? "yes" : "no" }, { "version", request->version }, { "detail", isForRequest ? "" : "answer of another request" }, { "tokens", std::to_string(request->tokens) } });
        recordResult(request, isWhole ? "" : "not-whole");
        return;
    }
    const auto json = nlohmann::json::parse(response.body, nullptr, false);
    const auto error = json.is_object() ? json.value("error", nlohmann::json::object()) : nlohmann::json::object();
    const auto reason = !request->error.empty() ? request->error : error.value("reason", "status-" + std::to_string(response.status));
    const auto run = error.value("run", "unknown");
    const auto delay = Milliseconds(error.value("retry_after_ms", 0));
    if (reason == "entry-leaving") {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_addressesValidUntil = TimePoint();
    }
    const bool isRepeatable = reason == "entry-leaving" || delay > Milliseconds(0) || (request->key.empty() && run != "not-run");
    retryOrRecord(request, reason, isRepeatable, delay);
}

void FakeCaller::retryOrRecord(const RequestPointer& request, const std::string& reason, bool isRepeatable, Milliseconds delay)
{
    const auto now = monotonicNow();
    if (!isRepeatable || request->attempts >= maxAttempts || now + delay >= request->deadline) {
        recordResult(request, reason);
        return;
    }
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        ++m_counts.retried;
    }
    m_scheduler.at(now + delay, [this, request] {
        refreshAddresses([this, request] {
            std::string address;
            {
                std::lock_guard<std::mutex> lock(m_mutex);
                address = m_addresses.empty() ? m_options.entries[m_random.below(m_options.entries.size())] : m_addresses[request->attempts % m_addresses.size()];
            }
            sendTo(request, address);
        });
    });
}

void FakeCaller::recordResult(const RequestPointer& request, const std::string& reason)
{
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        --m_inProgress;
        const auto now = monotonicNow();
        if (reason.empty()) {
            ++m_counts.answered;
            m_counts.bookingsAnswered += !request->key.empty();
            m_counts.totalMilliseconds.push_back(std::chrono::duration<double, std::milli>(now - request->startedAt).count());
            if (request->key.empty()) {
                ++m_counts.byVersion[request->version];
                m_counts.firstTokenMilliseconds.push_back(std::chrono::duration<double, std::milli>(request->firstTokenAt - request->startedAt).count());
            }
        } else if (reason == "not-whole") {
            ++m_counts.notWhole;
        } else {
            ++m_counts.refusals[reason];
            m_counts.unknown += reason == "connection-lost" || reason == "outcome-unknown";
        }
    }
    if (request->onDone)
        request->onDone(reason.empty() ? statusOk : 0);
}

void FakeCaller::stop()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_isStopping = true;
}

void FakeCaller::finish(TimePoint deadline)
{
    stop();
    for (;;) {
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            if (m_inProgress == 0)
                return;
        }
        if (monotonicNow() >= deadline)
            return;
        std::this_thread::sleep_for(pollPeriod);
    }
}

FakeCallerCounts FakeCaller::counts()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_counts;
}

}
