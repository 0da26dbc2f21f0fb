#include "KeyValueClient.h"

#include <nlohmann/json.hpp>

namespace hyssopwick {

namespace {

    constexpr Milliseconds callTimeout { 1500 };
    // A value of 1,000,000 bytes, of which JSON may write each as six.
    constexpr std::size_t maxAnswerBytes = std::size_t(8) << 20;
    constexpr int statusOk = 200;

    Outcome<nlohmann::json> parse(const Outcome<std::string>& body)
    {
        if (!body)
            return boost::outcome_v2::failure(body.error());
        auto json = nlohmann::json::parse(body.value(), nullptr, false);
        if (!json.is_object())
            return failure(ErrorCode::UnknownResult, "key-value service answered malformed JSON");
        return json;
    }

    Outcome<KeyValue> parseKeyValue(const Outcome<std::string>& body)
    {
        const auto json = parse(body);
        if (!json)
            return boost::outcome_v2::failure(json.error());
        return KeyValue { json.value().value("value", ""), json.value().value("revision", KeyRevision { 0 }) };
    }

    Outcome<SwapResult> parseSwap(const Outcome<std::string>& body)
    {
        const auto json = parse(body);
        if (!json)
            return boost::outcome_v2::failure(json.error());
        return SwapResult { json.value().value("swapped", false), json.value().value("revision", KeyRevision { 0 }) };
    }

}

KeyValueClient::KeyValueClient(HttpClient& client, std::string address, std::string caller)
    : m_client(client)
    , m_address(std::move(address))
    , m_caller(std::move(caller))
{
}

Outcome<std::string> KeyValueClient::post(const std::string& path, std::string body, TimePoint deadline, bool isWrite)
{
    HttpClientRequest request;
    request.method = "POST";
    request.url = "http://" + m_address + path;
    request.headers.emplace_back("Content-Type", "application/json");
    request.headers.emplace_back("X-Caller", m_caller);
    request.body = std::make_shared<const std::string>(std::move(body));
    request.deadline = deadline;
    request.freshConnection = isWrite;
    request.maxResponseBytes = maxAnswerBytes;
    auto answer = m_client.send(std::move(request));
    if (!answer) {
        const auto code = isWrite && answer.error().code != ErrorCode::Unavailable ? ErrorCode::UnknownResult : ErrorCode::Unavailable;
        return failure(code, answer.error().message);
    }
    if (answer.value().status != statusOk)
        return failure(ErrorCode::Unavailable, "key-value service answered status " + std::to_string(answer.value().status));
    return std::move(answer.value().body);
}

Outcome<KeyValue> KeyValueClient::read(const std::string& key)
{
    return parseKeyValue(post("/v1/read", nlohmann::json { { "key", key } }.dump(), monotonicNow() + callTimeout, false));
}

Outcome<KeyValue> KeyValueClient::watch(const std::string& key, KeyRevision after, TimePoint deadline)
{
    const auto wait = std::max<std::int64_t>(0, millisecondsBetween(monotonicNow(), deadline));
    const nlohmann::json body { { "key", key }, { "after", after }, { "wait_ms", wait } };
    return parseKeyValue(post("/v1/watch", body.dump(), deadline + callTimeout, false));
}

Outcome<SwapResult> KeyValueClient::swap(const std::string& key, KeyRevision expected, const std::string& value, Milliseconds timeToLive)
{
    const nlohmann::json body { { "key", key }, { "expected", expected }, { "value", value }, { "ttl_ms", timeToLive.count() } };
    return parseSwap(post("/v1/swap", body.dump(), monotonicNow() + callTimeout, true));
}

Outcome<SwapResult> KeyValueClient::remove(const std::string& key, KeyRevision expected)
{
    const nlohmann::json body { { "key", key }, { "expected", expected } };
    return parseSwap(post("/v1/remove", body.dump(), monotonicNow() + callTimeout, true));
}

Outcome<std::vector<std::string>> KeyValueClient::list(const std::string& prefix)
{
    const auto json = parse(post("/v1/list", nlohmann::json { { "prefix", prefix } }.dump(), monotonicNow() + callTimeout, false));
    if (!json)
        return boost::outcome_v2::failure(json.error());
    return json.value().value("keys", std::vector<std::string>());
}

}
