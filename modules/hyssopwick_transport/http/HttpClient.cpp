#include "HttpClient.h"

#include <algorithm>
#include <charconv>
#include <condition_variable>
#include <curl/curl.h>
#include <future>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace hyssopwick {

namespace {

    constexpr int idlePollMilliseconds = 1000;
    constexpr Milliseconds cancelCheckInterval { 20 };
    constexpr long connectTimeoutMilliseconds = 2000;
    constexpr long maxIdleSeconds = 30;
    // Probes reach every node in turn; idle connections must not grow with the fleet.
    constexpr long defaultMaxIdleConnections = 32;
    // Fields of a whole answer: interim answers and trailers count as well.
    constexpr std::size_t maxHeadBytes = std::size_t(64) << 10;
    constexpr int statusOk = 200;
    constexpr std::string_view statusLinePrefix = "HTTP/";
    constexpr int firstStatus = 100;
    constexpr int lastStatus = 599;
    constexpr std::size_t statusDigits = 3;

    enum class ExceededLimit {
        None,
        Head,
        Body
    };

    struct Transfer {
        HttpClientRequest request;
        HttpClient::DoneHandler onDone;
        HttpClient::DataHandler onData;
        HttpClientResponse response;
        curl_slist* headerList = nullptr;
        CURL* easy = nullptr;
        HttpClient::TransferId id = 0;
        std::size_t sent = 0;
        std::size_t headBytes = 0;
        ExceededLimit exceededLimit = ExceededLimit::None;
        bool isHeadComplete = false; // of the latest answer, which follows any interim ones
        bool isMalformed = false;

        ~Transfer()
        {
            if (headerList)
                curl_slist_free_all(headerList);
            if (easy)
                curl_easy_cleanup(easy);
        }
    };

    std::size_t receiveBody(char* data, std::size_t size, std::size_t count, void* context)
    {
        auto& transfer = *static_cast<Transfer*>(context);
        const std::size_t bytes = size * count;
        if (transfer.response.status == 0) {
            long status = 0;
            curl_easy_getinfo(transfer.easy, CURLINFO_RESPONSE_CODE, &status);
            transfer.response.status = static_cast<int>(status);
        }
        if (transfer.onData && transfer.response.status == statusOk)
            return transfer.onData(transfer.response, { data, bytes }) ? bytes : 0;
        if (transfer.response.body.size() + bytes > transfer.request.maxResponseBytes) {
            transfer.exceededLimit = ExceededLimit::Body;
            return 0;
        }
        transfer.response.body.append(data, bytes);
        return bytes;
    }

    // Returns whether a status line has a status that HTTP defines (RFC 9110, section 15).
    bool hasValidStatus(std::string_view line)
    {
        const auto begin = line.find(' ') + 1;
        const auto digits = begin == 0 ? std::string_view() : line.substr(begin, statusDigits);
        int status = 0;
        const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), status);
        const bool isNumber = digits.size() == statusDigits && parsed.ec == std::errc() && parsed.ptr == digits.data() + digits.size();
        const auto next = begin + statusDigits;
        return isNumber && status >= firstStatus && status <= lastStatus && (next >= line.size() || std::isspace(static_cast<unsigned char>(line[next])) != 0);
    }

    // Returns whether the name of a field is a token (RFC 9110, section 5.6.2). The line may be folded, too.
    bool hasValidName(std::string_view line)
    {
        constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
        const auto colon = line.find(':');
        if (colon == std::string_view::npos || colon == 0)
            return false;
        const auto isTokenCharacter = [marks](char character) {
            const bool isAscii = static_cast<unsigned char>(character) < 128;
            return (isAscii && std::isalnum(static_cast<unsigned char>(character)) != 0) || marks.find(character) != std::string_view::npos;
        };
        const auto name = line.substr(0, colon);
        return std::all_of(name.begin(), name.end(), isTokenCharacter);
    }

    std::size_t receiveHeader(char* data, std::size_t size, std::size_t count, void* context)
    {
        auto& transfer = *static_cast<Transfer*>(context);
        const std::string_view line(data, size * count);
        transfer.headBytes += line.size();
        if (transfer.headBytes > maxHeadBytes) {
            transfer.exceededLimit = ExceededLimit::Head;
            return 0;
        }
        const bool isStatusLine = line.substr(0, statusLinePrefix.size()) == statusLinePrefix;
        const bool isHeadEnd = line.find_first_not_of("\r\n") == std::string_view::npos;
        const bool isTrailer = !isStatusLine && transfer.isHeadComplete;
        transfer.isHeadComplete = !isStatusLine && (isHeadEnd || transfer.isHeadComplete);
        transfer.isMalformed = !isHeadEnd && !(isStatusLine ? hasValidStatus(line) : hasValidName(line));
        if (transfer.isMalformed)
            return 0;
        if (isStatusLine)
            transfer.response.headers.clear(); // of an interim answer
        if (isStatusLine || isHeadEnd || isTrailer)
            return line.size();
        const auto colon = line.find(':');
        std::string name(line.substr(0, colon));
        for (auto& character : name)
            character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
        auto begin = line.find_first_not_of(" \t", colon + 1);
        auto end = line.find_last_not_of(" \r\n");
        if (begin == std::string_view::npos || end == std::string_view::npos || end < begin)
            return line.size();
        transfer.response.headers[std::move(name)] = std::string(line.substr(begin, end - begin + 1));
        return line.size();
    }

    std::size_t sendBody(char* buffer, std::size_t size, std::size_t count, void* context)
    {
        auto& transfer = *static_cast<Transfer*>(context);
        const auto& body = *transfer.request.body;
        const auto bytes = std::min(size * count, body.size() - transfer.sent);
        std::copy_n(body.data() + transfer.sent, bytes, buffer);
        transfer.sent += bytes;
        return bytes;
    }

    std::string limitText(const Transfer& transfer)
    {
        if (transfer.exceededLimit == ExceededLimit::Head)
            return " (answer's head over " + std::to_string(maxHeadBytes) + " bytes)";
        return " (answer's body over " + std::to_string(transfer.request.maxResponseBytes) + " bytes)";
    }

    Error transferError(const Transfer& transfer, CURLcode code)
    {
        const std::string what = transfer.request.method + " " + transfer.request.url + ": " + curl_easy_strerror(code);
        if (transfer.exceededLimit != ExceededLimit::None)
            return { ErrorCode::UnknownResult, what + limitText(transfer) };
        if (transfer.isMalformed)
            return { ErrorCode::UnknownResult, what + " (malformed answer)" };
        if (code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST)
            return { ErrorCode::Unavailable, what };
        double connectSeconds = 0;
        curl_easy_getinfo(transfer.easy, CURLINFO_CONNECT_TIME, &connectSeconds);
        long connections = 0;
        curl_easy_getinfo(transfer.easy, CURLINFO_NUM_CONNECTS, &connections);
        if (code == CURLE_OPERATION_TIMEDOUT && connectSeconds == 0 && connections > 0)
            return { ErrorCode::Unavailable, what };
        if (code == CURLE_OPERATION_TIMEDOUT)
            return { ErrorCode::Timeout, what };
        return { ErrorCode::UnknownResult, what };
    }

    void configure(Transfer& transfer)
    {
        CURL* easy = transfer.easy;
        const auto& request = transfer.request;
        for (const auto& [name, value] : request.headers)
            transfer.headerList = curl_slist_append(transfer.headerList, (name + ": " + value).c_str());
        transfer.headerList = curl_slist_append(transfer.headerList, "Connection: keep-alive");
        transfer.headerList = curl_slist_append(transfer.headerList, "Expect:");
        curl_easy_setopt(easy, CURLOPT_URL, request.url.c_str());
        curl_easy_setopt(easy, CURLOPT_PROXY, "");
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer.headerList);
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, receiveBody);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
        curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, receiveHeader);
        curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
        curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, request.freshConnection ? 1L : 0L);
        curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, maxIdleSeconds);
        curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, connectTimeoutMilliseconds);
        const auto remaining = std::max<std::int64_t>(1, millisecondsBetween(monotonicNow(), request.deadline));
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(remaining));
        if (request.method == "POST") {
            curl_easy_setopt(easy, CURLOPT_POST, 1L);
            curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body ? request.body->data() : "");
            curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.body ? request.body->size() : 0));
        } else if (request.method == "PUT") {
            curl_easy_setopt(easy, CURLOPT_UPLOAD, 1L);
            curl_easy_setopt(easy, CURLOPT_READFUNCTION, sendBody);
            curl_easy_setopt(easy, CURLOPT_READDATA, &transfer);
            curl_easy_setopt(easy, CURLOPT_INFILESIZE_LARGE, static_cast<curl_off_t>(request.body ? request.body->size() : 0));
        } else if (request.method != "GET") {
            curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
        }
    }

    void initialiseLibraryOnce()
    {
        static const CURLcode code = curl_global_init(CURL_GLOBAL_DEFAULT);
        static_cast<void>(code);
    }

}

struct HttpClient::State {
    CURLM* multi = nullptr;
    std::thread thread;
    std::function<std::string(const std::string&)> redirect;
    LimitHandler onLimit;
    std::mutex mutex; // guards the four members below
    std::vector<std::unique_ptr<Transfer>> queued;
    std::vector<TransferId> cancelled;
    TransferId nextId = 1;
    bool stopping = false;

    std::unordered_map<TransferId, std::unique_ptr<Transfer>> active; // used only on the client's thread

    void run();
    bool processRequests();
    void finish(CURL* easy, CURLcode code);
    void fail(TransferId id, const char* reason);
};

bool HttpClient::State::processRequests()
{
    std::vector<std::unique_ptr<Transfer>> started;
    std::vector<TransferId> dropped;
    bool stop = false;
    {
        std::lock_guard<std::mutex> lock(mutex);
        started.swap(queued);
        dropped.swap(cancelled);
        stop = stopping;
    }
    for (auto& transfer : started) {
        transfer->easy = curl_easy_init();
        configure(*transfer);
        curl_multi_add_handle(multi, transfer->easy);
        active.emplace(transfer->id, std::move(transfer));
    }
    for (const auto id : dropped)
        fail(id, "cancelled");
    return !stop;
}

void HttpClient::State::fail(TransferId id, const char* reason)
{
    const auto found = active.find(id);
    if (found == active.end())
        return;
    const auto transfer = std::move(found->second);
    active.erase(found);
    curl_multi_remove_handle(multi, transfer->easy);
    transfer->onDone(failure(ErrorCode::UnknownResult, transfer->request.method + " " + transfer->request.url + ": " + reason));
}

void HttpClient::State::finish(CURL* easy, CURLcode code)
{
    Transfer* raw = nullptr;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &raw);
    const auto found = active.find(raw->id);
    const auto transfer = std::move(found->second);
    active.erase(found);
    curl_multi_remove_handle(multi, easy);
    if (onLimit && transfer->exceededLimit != ExceededLimit::None)
        onLimit(transfer->exceededLimit == ExceededLimit::Head ? "head" : "body", transfer->request.url);
    if (code != CURLE_OK) {
        transfer->onDone(boost::outcome_v2::failure(transferError(*transfer, code)));
        return;
    }
    // libcurl takes a connection that ends inside the head for the end of an answer without a body.
    if (!transfer->isHeadComplete) {
        transfer->onDone(failure(ErrorCode::UnknownResult, transfer->request.method + " " + transfer->request.url + ": the answer ended inside its head"));
        return;
    }
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    transfer->response.status = static_cast<int>(status);
    transfer->onDone(std::move(transfer->response));
}

void HttpClient::State::run()
{
    while (processRequests()) {
        int running = 0;
        curl_multi_perform(multi, &running);
        int remaining = 0;
        while (const CURLMsg* message = curl_multi_info_read(multi, &remaining)) {
            if (message->msg == CURLMSG_DONE)
                finish(message->easy_handle, message->data.result);
        }
        curl_multi_poll(multi, nullptr, 0, idlePollMilliseconds, nullptr);
    }
    while (!active.empty())
        fail(active.begin()->first, "client stopped");
}

HttpClient::HttpClient()
    : m_state(std::make_unique<State>())
{
    initialiseLibraryOnce();
    m_state->multi = curl_multi_init();
    setMaxIdleConnections(defaultMaxIdleConnections);
    m_state->thread = std::thread([state = m_state.get()] { state->run(); });
}

HttpClient::~HttpClient()
{
    stop();
    curl_multi_cleanup(m_state->multi);
}

void HttpClient::stop()
{
    {
        std::lock_guard<std::mutex> lock(m_state->mutex);
        m_state->stopping = true;
    }
    curl_multi_wakeup(m_state->multi);
    if (m_state->thread.joinable())
        m_state->thread.join();
    std::vector<std::unique_ptr<Transfer>> unsent;
    {
        std::lock_guard<std::mutex> lock(m_state->mutex);
        unsent.swap(m_state->queued);
    }
    for (auto& transfer : unsent)
        transfer->onDone(failure(ErrorCode::Unavailable, "client stopped"));
}

void HttpClient::setMaxIdleConnections(long maximum) { curl_multi_setopt(m_state->multi, CURLMOPT_MAXCONNECTS, maximum); }

void HttpClient::setUrlRedirect(std::function<std::string(const std::string& url)> redirect) { m_state->redirect = std::move(redirect); }

void HttpClient::setLimitHandler(LimitHandler handler) { m_state->onLimit = std::move(handler); }

HttpClient::TransferId HttpClient::start(HttpClientRequest request, DoneHandler onDone, DataHandler onData)
{
    if (m_state->redirect)
        request.url = m_state->redirect(request.url);
    auto transfer = std::make_unique<Transfer>();
    transfer->request = std::move(request);
    transfer->onDone = std::move(onDone);
    transfer->onData = std::move(onData);
    TransferId id = 0;
    {
        std::lock_guard<std::mutex> lock(m_state->mutex);
        id = m_state->nextId++;
        transfer->id = id;
        if (!m_state->stopping) {
            m_state->queued.push_back(std::move(transfer));
            curl_multi_wakeup(m_state->multi);
            return id;
        }
    }
    transfer->onDone(failure(ErrorCode::Unavailable, "client stopped"));
    return id;
}

void HttpClient::cancel(TransferId id)
{
    {
        std::lock_guard<std::mutex> lock(m_state->mutex);
        m_state->cancelled.push_back(id);
    }
    curl_multi_wakeup(m_state->multi);
}

Outcome<HttpClientResponse> HttpClient::send(HttpClientRequest request, DataHandler onData, const std::function<bool()>& isCancelled)
{
    auto promise = std::make_shared<std::promise<Outcome<HttpClientResponse>>>();
    auto future = promise->get_future();
    const auto id = start(
        std::move(request), [promise](Outcome<HttpClientResponse> outcome) { promise->set_value(std::move(outcome)); },
        std::move(onData));
    if (!isCancelled)
        return future.get();
    while (future.wait_for(cancelCheckInterval) != std::future_status::ready) {
        if (isCancelled()) {
            cancel(id);
            break;
        }
    }
    return future.get();
}

}
