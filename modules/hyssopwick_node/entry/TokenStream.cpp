#include "TokenStream.h"

namespace hyssopwick {

namespace {
    constexpr std::string_view eventEnd = "\n\n";
    constexpr std::string_view dataPrefix = "data: ";
    constexpr std::string_view brokenPrefix = "event: broken";
    constexpr std::string_view doneText = "[DONE]";
    constexpr std::size_t maxEventBytes = 65536;
    constexpr int statusOk = 200;
}

bool TokenStream::receive(RequestFlow& flow, std::string_view data)
{
    flow.partialEvent += data;
    std::size_t begin = 0;
    for (;;) {
        const auto end = flow.partialEvent.find(eventEnd, begin);
        if (end == std::string::npos)
            break;
        if (!receiveEvent(flow, std::string_view(flow.partialEvent).substr(begin, end - begin)))
            return false;
        begin = end + eventEnd.size();
    }
    flow.partialEvent.erase(0, begin);
    if (flow.partialEvent.size() <= maxEventBytes)
        return true;
    flow.isStreamBroken = true;
    return false;
}

bool TokenStream::receiveEvent(RequestFlow& flow, std::string_view event)
{
    if (event.substr(0, brokenPrefix.size()) == brokenPrefix) {
        flow.isStreamBroken = true;
        return true;
    }
    if (event.substr(0, dataPrefix.size()) != dataPrefix)
        return true;
    event.remove_prefix(dataPrefix.size());
    if (event == doneText) {
        flow.isStreamDone = true;
        return true;
    }
    const auto token = nlohmann::json::parse(event, nullptr, false);
    const bool isToken = token.is_object() && token.contains("index") && token["index"].is_number_unsigned() && token.contains("token") && token["token"].is_string();
    if (isToken && token.contains("version") && token["version"] == flow.query.pinnedVersion && forwardToken(flow, token))
        return true;
    flow.isStreamBroken = true;
    return false;
}

bool TokenStream::forwardToken(RequestFlow& flow, const nlohmann::json& token)
{
    const auto index = token["index"].get<std::uint64_t>();
    if (index < flow.acceptedTokens)
        return true;
    if (index > flow.acceptedTokens)
        return false;
    ++flow.acceptedTokens;
    if (!flow.wantsStream) {
        flow.collectedText += token["token"].get<std::string>();
        return true;
    }
    if (!flow.isStreamStarted) {
        flow.isStreamStarted = true;
        flow.responder->startStream(statusOk,
            { { "Content-Type", "text/event-stream" }, { "X-Request-Id", flow.requestId }, { "X-Model-Version", flow.query.pinnedVersion } });
    }
    std::string message(dataPrefix);
    message += token.dump();
    message += eventEnd;
    flow.hasCallerLeft = !flow.responder->write(message);
    return !flow.hasCallerLeft;
}

}
