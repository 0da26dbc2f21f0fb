#include "UpstreamClient.h"

namespace hyssopwick {

namespace {
    constexpr Milliseconds queryTimeout { 1000 };
    constexpr std::size_t maxReportBytes = std::size_t(1) << 20;
    // An agent that has started reads all events that its engine has kept.
    constexpr std::size_t maxCacheEventBytes = std::size_t(16) << 20;
    // The answer to an order has at most an error's text.
    constexpr std::size_t maxOrderAnswerBytes = std::size_t(64) << 10;
    constexpr int statusOk = 200;
    constexpr int statusConflict = 409;
}

UpstreamClient::UpstreamClient(NodeContext& context)
    : m_context(context)
{
}

Outcome<std::string> UpstreamClient::get(const std::string& path, std::size_t maxBytes)
{
    HttpClientRequest request;
    request.method = "GET";
    request.url = "http://" + m_context.settings.upstreamAddress + path;
    request.deadline = monotonicNow() + queryTimeout;
    request.maxResponseBytes = maxBytes;
    auto answer = m_context.client.send(std::move(request));
    if (!answer)
        return boost::outcome_v2::failure(answer.error());
    if (answer.value().status != statusOk)
        return failure(ErrorCode::Unavailable, "upstream answered status " + std::to_string(answer.value().status));
    return std::move(answer.value().body);
}

Outcome<void> UpstreamClient::postOrder(const std::string& path, const std::string& body, TimePoint deadline)
{
    HttpClientRequest request;
    request.method = "POST";
    request.url = "http://" + m_context.settings.upstreamAddress + path;
    request.headers.emplace_back("Content-Type", "application/json");
    request.body = std::make_shared<const std::string>(body);
    request.deadline = deadline;
    request.maxResponseBytes = maxOrderAnswerBytes;
    request.freshConnection = true;
    const auto answer = m_context.client.send(std::move(request));
    if (!answer)
        return boost::outcome_v2::failure(answer.error());
    if (answer.value().status == statusOk)
        return success();
    if (answer.value().status == statusConflict)
        return failure(ErrorCode::Conflict, answer.value().body);
    return failure(ErrorCode::InvalidInput, answer.value().body);
}

Outcome<void> UpstreamClient::orderLoad(const PlacementRecord& placement, std::uint64_t fencingToken, TimePoint deadline)
{
    const nlohmann::json body { { "name", placement.name }, { "version", placement.version }, { "manifest", placement.manifest.hex() },
        { "base", placement.base }, { "weights", "http://" + m_context.settings.listen + "/weights/" + placement.manifest.hex() }, { "fence", fencingToken } };
    return postOrder("/v1/load", body.dump(), deadline);
}

Outcome<void> UpstreamClient::orderRole(const std::string& role, std::uint64_t fencingToken, TimePoint deadline)
{
    return postOrder("/v1/role", nlohmann::json { { "role", role }, { "fence", fencingToken } }.dump(), deadline);
}

Outcome<std::vector<LoadedModel>> UpstreamClient::loadedModels()
{
    const auto body = get("/v1/models", maxReportBytes);
    if (!body)
        return boost::outcome_v2::failure(body.error());
    const auto json = nlohmann::json::parse(body.value(), nullptr, false);
    if (!json.is_object() || !json.contains("models") || !json["models"].is_array())
        return failure(ErrorCode::InvalidInput, "engine's list of models is malformed");
    std::vector<LoadedModel> models;
    for (const auto& item : json["models"])
        models.push_back({ item.value("name", ""), item.value("version", ""), Digest::fromHex(item.value("manifest", "")) });
    return models;
}

Outcome<UpstreamLoad> UpstreamClient::load()
{
    const auto body = get("/v1/status", maxReportBytes);
    if (!body)
        return boost::outcome_v2::failure(body.error());
    const auto json = nlohmann::json::parse(body.value(), nullptr, false);
    if (!json.is_object())
        return failure(ErrorCode::InvalidInput, "upstream's status is malformed");
    return UpstreamLoad { json.value("running", std::int64_t { 0 }), std::max<std::int64_t>(1, json.value("capacity", std::int64_t { 1 })) };
}

Outcome<std::vector<CacheEvent>> UpstreamClient::cacheEvents(std::uint64_t after)
{
    const auto body = get("/v1/cache-events?after=" + std::to_string(after), maxCacheEventBytes);
    if (!body)
        return boost::outcome_v2::failure(body.error());
    const auto json = nlohmann::json::parse(body.value(), nullptr, false);
    if (!json.is_object() || !json.contains("events") || !json["events"].is_array())
        return failure(ErrorCode::InvalidInput, "engine's cache events are malformed");
    std::vector<CacheEvent> events;
    for (const auto& item : json["events"])
        events.push_back({ item.value("seq", std::uint64_t { 0 }), item.value("prefix", std::uint64_t { 0 }), item.value("cached", false) });
    return events;
}

}
