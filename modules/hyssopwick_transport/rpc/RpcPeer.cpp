#include "RpcPeer.h"

#include <future>

namespace hyssopwick {

namespace {
    constexpr int statusOk = 200;
    constexpr int statusUnauthorized = 401;
    constexpr int statusTooLarge = 413;
    constexpr std::uint64_t headerBytesPerExchange = 420; // estimate for the headers of request and response, as sent

    Outcome<std::string> answerBody(const Outcome<HttpClientResponse>& answer)
    {
        if (!answer)
            return boost::outcome_v2::failure(answer.error());
        if (answer.value().status == statusUnauthorized)
            return failure(ErrorCode::Unauthenticated, answer.value().body);
        if (answer.value().status != statusOk)
            return failure(ErrorCode::Unavailable, "peer answered status " + std::to_string(answer.value().status));
        return answer.value().body;
    }

    Outcome<nlohmann::json> parseJson(const std::string& text)
    {
        auto parsed = nlohmann::json::parse(text, nullptr, false);
        if (parsed.is_discarded())
            return failure(ErrorCode::InvalidInput, "peer answered malformed JSON");
        return parsed;
    }

    Outcome<nlohmann::json> parseAnswer(const Outcome<HttpClientResponse>& answer)
    {
        const auto body = answerBody(answer);
        if (!body)
            return boost::outcome_v2::failure(body.error());
        std::string result;
        if (!parseRpcResponse(body.value(), result))
            return failure(ErrorCode::InvalidInput, result);
        return parseJson(result);
    }

    Outcome<nlohmann::json> parsePlainAnswer(const Outcome<HttpClientResponse>& answer)
    {
        const auto body = answerBody(answer);
        if (!body)
            return boost::outcome_v2::failure(body.error());
        return parseJson(body.value());
    }
}

namespace {
    // An answer with fields of unexpected types is treated as malformed.
    void deliver(const RpcPeer::ResultHandler& onResult, Outcome<nlohmann::json> result)
    {
        try {
            onResult(std::move(result));
        } catch (const nlohmann::json::exception& exception) {
            onResult(failure(ErrorCode::InvalidInput, std::string("peer answered unexpected JSON: ") + exception.what()));
        }
    }
}

RpcPeer::RpcPeer(HttpClient& client, PeerAuthenticator& authenticator)
    : m_client(client)
    , m_authenticator(authenticator)
{
}

HttpClientRequest RpcPeer::signedPost(const std::string& address, const std::string& path, std::string body, TimePoint deadline)
{
    HttpClientRequest request;
    request.method = "POST";
    request.url = "http://" + address + path;
    request.body = std::make_shared<const std::string>(std::move(body));
    request.deadline = deadline;
    request.maxResponseBytes = maxRpcBytes;
    request.headers.emplace_back("Content-Type", "application/json");
    request.headers.emplace_back(PeerAuthenticator::headerName, m_authenticator.sign(path, Digest::of(*request.body), unixNow()));
    return request;
}

void RpcPeer::call(const std::string& address, const std::string& method, const nlohmann::json& parameters, TimePoint deadline,
    ResultHandler onResult)
{
    m_client.start(signedPost(address, rpcPath, buildRpcRequest(method, parameters.dump()), deadline),
        [onResult = std::move(onResult)](const Outcome<HttpClientResponse>& answer) { deliver(onResult, parseAnswer(answer)); });
}

void RpcPeer::post(const std::string& address, const std::string& path, const nlohmann::json& body, TimePoint deadline, ResultHandler onResult)
{
    m_client.start(signedPost(address, path, body.dump(), deadline),
        [onResult = std::move(onResult)](const Outcome<HttpClientResponse>& answer) { deliver(onResult, parsePlainAnswer(answer)); });
}

Outcome<nlohmann::json> RpcPeer::callAndWait(const std::string& address, const std::string& method, const nlohmann::json& parameters,
    TimePoint deadline)
{
    auto promise = std::make_shared<std::promise<Outcome<nlohmann::json>>>();
    auto future = promise->get_future();
    call(address, method, parameters, deadline, [promise](Outcome<nlohmann::json> result) { promise->set_value(std::move(result)); });
    return future.get();
}

RpcEndpoint::RpcEndpoint(PeerAuthenticator& authenticator, MetricsRegistry& metrics)
    : m_authenticator(authenticator)
    , m_metrics(metrics)
{
}

void RpcEndpoint::add(const std::string& name, Method method)
{
    m_dispatcher.add(name, [method = std::move(method)](const std::string& parameters) {
        return method(nlohmann::json::parse(parameters)).dump();
    });
}

bool RpcEndpoint::verify(const HttpRequest& request, HttpResponder& responder)
{
    if (request.body.size() > maxRpcBytes) {
        m_metrics.count("peer_refusals_total", "oversized");
        responder.send(statusTooLarge, "message is over " + std::to_string(maxRpcBytes) + " bytes");
        return false;
    }
    const auto verified = m_authenticator.verify(request.header(PeerAuthenticator::headerName), request.path, Digest::of(request.body), unixNow());
    if (!verified) {
        m_metrics.count("peer_refusals_total", "unauthenticated");
        responder.send(statusUnauthorized, verified.error().message);
        return false;
    }
    return true;
}

void RpcEndpoint::handle(const HttpRequest& request, HttpResponder& responder)
{
    if (!verify(request, responder))
        return;
    auto answer = m_dispatcher.handle(request.body);
    m_metrics.count("peer_message_bytes_total", "", request.body.size() + answer.size() + headerBytesPerExchange);
    responder.send(statusOk, std::move(answer), { { "Content-Type", "application/json" } });
}

}
