#include "RequestParser.h"

#include <algorithm>

namespace hyssopwick {

namespace {

    constexpr Milliseconds defaultTimeout { 60'000 };
    constexpr Milliseconds maxTimeout { 600'000 };
    constexpr std::int64_t maxTokens = 100'000;
    constexpr std::int64_t defaultTokens = 64;
    constexpr std::size_t maxKeyLength = 200;
    constexpr std::size_t maxHeaderBytes = 8192;
    constexpr const char* completionPath = "/v1/completions";
    constexpr const char* servicePrefix = "/v1/services/";
    constexpr const char* bearerPrefix = "Bearer ";

    Refusal notRun(RefusalReason reason, std::string detail) { return { reason, RunState::NotRun, Milliseconds(0), std::move(detail), {} }; }

    std::optional<std::int64_t> parseNumber(const std::string& text)
    {
        if (text.empty() || text.size() > 15 || text.find_first_not_of("0123456789") != std::string::npos)
            return std::nullopt;
        return std::stoll(text);
    }

    bool isName(const std::string& text)
    {
        return !text.empty() && text.size() <= maxKeyLength && std::all_of(text.begin(), text.end(), [](unsigned char character) { return character > ' ' && character < 127; });
    }

    std::size_t headerBytes(const HttpRequest& request)
    {
        std::size_t bytes = 0;
        for (const auto& [name, value] : request.headers)
            bytes += name.size() + value.size();
        return bytes;
    }

    bool contains(const std::vector<std::string>& list, const std::string& item) { return std::find(list.begin(), list.end(), item) != list.end(); }

}

RequestParser::Result RequestParser::parse(const HttpRequest& request, const Bundle& bundle, TimePoint now, UnixMilliseconds wallNow)
{
    auto flow = std::make_shared<RequestFlow>();
    flow->receivedAt = now;
    flow->requestId = request.header("x-request-id");
    if (!flow->requestId.empty() && !isName(flow->requestId))
        return notRun(RefusalReason::Malformed, "X-Request-Id must be printable without spaces, at most 200 characters");
    if (request.body.size() > maxCallerBodyBytes)
        return notRun(RefusalReason::TooLarge, "the body is over " + std::to_string(maxCallerBodyBytes) + " bytes");
    if (headerBytes(request) > maxHeaderBytes)
        return notRun(RefusalReason::TooLarge, "the headers are over " + std::to_string(maxHeaderBytes) + " bytes");
    if (auto refusal = authenticate(request, bundle, *flow))
        return *refusal;
    if (auto refusal = parseDeadline(request, now, wallNow, *flow))
        return *refusal;
    flow->body = nlohmann::json::parse(request.body.empty() ? "{}" : request.body, nullptr, false);
    if (!flow->body.is_object())
        return notRun(RefusalReason::Malformed, "the body must be a JSON object");
    const bool isCompletion = request.path == completionPath;
    auto refusal = isCompletion ? parseCompletion(request, bundle, *flow) : parseCall(request, bundle, wallNow, *flow);
    if (refusal)
        return *refusal;
    flow->digest = Digest::of(flow->account + "\n" + flow->path + "\n" + flow->body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    return flow;
}

std::optional<Refusal> RequestParser::authenticate(const HttpRequest& request, const Bundle& bundle, RequestFlow& flow)
{
    flow.account = request.header("x-account");
    const auto* account = bundle.account(flow.account);
    auto secret = request.header("authorization");
    const std::string prefix(bearerPrefix);
    secret = secret.rfind(prefix, 0) == 0 ? secret.substr(prefix.size()) : "";
    // An unknown account takes as long to refuse as a wrong secret, so timing does not reveal accounts.
    const auto expected = account ? account->credential : Digest::of("");
    const bool isMatching = constantTimeEquals(Digest::of(secret).hex(), expected.hex());
    if (!account || !isMatching || secret.empty())
        return notRun(RefusalReason::Unauthenticated, "X-Account and Authorization do not name a client account");
    flow.priority = account->priority;
    return std::nullopt;
}

std::optional<Refusal> RequestParser::parseDeadline(const HttpRequest& request, TimePoint now, UnixMilliseconds wallNow, RequestFlow& flow)
{
    flow.deadline = now + defaultTimeout;
    const auto text = request.header("x-deadline");
    if (text.empty())
        return std::nullopt;
    const auto stated = parseNumber(text);
    if (!stated)
        return notRun(RefusalReason::Malformed, "X-Deadline must be milliseconds since the Unix epoch");
    if (*stated <= wallNow)
        return notRun(RefusalReason::DeadlinePassed, "the deadline passed before the request arrived");
    flow.deadline = now + std::min(maxTimeout, Milliseconds(*stated - wallNow));
    return std::nullopt;
}

std::optional<Refusal> RequestParser::parseCompletion(const HttpRequest&, const Bundle& bundle, RequestFlow& flow)
{
    const auto& body = flow.body;
    if (!body.contains("model") || !body["model"].is_string() || !body.contains("prompt") || !body["prompt"].is_string())
        return notRun(RefusalReason::Malformed, "model and prompt must be strings");
    if (body.contains("max_tokens") && !body["max_tokens"].is_number_integer())
        return notRun(RefusalReason::Malformed, "max_tokens must be a whole number");
    const auto tokens = body.value("max_tokens", defaultTokens);
    if (tokens < 1 || tokens > maxTokens)
        return notRun(RefusalReason::Malformed, "max_tokens must be in 1.." + std::to_string(maxTokens));
    if (body.contains("stream") && !body["stream"].is_boolean())
        return notRun(RefusalReason::Malformed, "stream must be true or false");
    const auto* placement = bundle.placement(body["model"].get<std::string>());
    if (!placement)
        return notRun(RefusalReason::UnknownModel, "no placement record names this model");
    flow.wantsStream = body.value("stream", false);
    flow.path = completionPath;
    flow.query.workerKind = placement->workerKind;
    flow.query.placement = placement->name;
    flow.query.prefixes = prefixHashes(body["prompt"].get<std::string>());
    flow.body = { { "model", placement->name }, { "prompt", body["prompt"] }, { "max_tokens", tokens }, { "stream", true }, { "priority", flow.priority } };
    return std::nullopt;
}

std::optional<Refusal> RequestParser::parseCall(const HttpRequest& request, const Bundle& bundle, UnixMilliseconds wallNow, RequestFlow& flow)
{
    const auto rest = request.path.substr(std::min(request.path.size(), std::string(servicePrefix).size()));
    const auto slash = rest.find('/');
    const auto* service = bundle.service(rest.substr(0, slash));
    if (!service || service->isModel)
        return notRun(RefusalReason::UnknownService, "no record names this service");
    const auto method = slash == std::string::npos ? "" : rest.substr(slash + 1);
    const bool isIdempotent = contains(service->idempotentMethods, method);
    if (!isIdempotent && !contains(service->nonIdempotentMethods, method))
        return notRun(RefusalReason::UnknownMethod, "the service's record does not list this method");
    flow.path = std::string(servicePrefix) + service->name + "/" + method;
    flow.query.workerKind = service->workerKind;
    flow.isIdempotent = isIdempotent;
    return isIdempotent ? std::nullopt : parseIdentity(request, wallNow, flow);
}

std::optional<Refusal> RequestParser::parseIdentity(const HttpRequest& request, UnixMilliseconds wallNow, RequestFlow& flow)
{
    ClaimIdentity identity;
    identity.account = flow.account;
    identity.key = request.header("idempotency-key");
    if (!isName(identity.key))
        return notRun(RefusalReason::MissingIdempotencyKey, "Idempotency-Key must be printable without spaces, 1 to 200 characters");
    const auto issuedAt = parseNumber(request.header("x-issued-at"));
    if (!issuedAt)
        return notRun(RefusalReason::MissingIdempotencyKey, "X-Issued-At must be milliseconds since the Unix epoch");
    if (*issuedAt + maxIssueAge.count() < wallNow)
        return notRun(RefusalReason::IdempotencyKeyExpired, "the call was issued more than " + std::to_string(maxIssueAge.count()) + " ms ago");
    if (*issuedAt > wallNow + maxIssueAhead.count())
        return notRun(RefusalReason::IdempotencyKeyExpired, "the call was issued in the future");
    identity.issuedAt = *issuedAt;
    flow.identity = identity;
    return std::nullopt;
}

}
