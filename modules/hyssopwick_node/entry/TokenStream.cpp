#include "TokenStream.h"

namespace hyssopwick {

namespace {
    constexpr std::string_view eventEnd = "\n\n";
    constexpr std::string_view dataPrefix = "data: ";
    constexpr std::string_view brokenPrefix = "event: broken";
    constexpr std::string_view doneText = "[DONE]";
    constexpr std::size_t maxEventBytes = 65536;
    // Comments that keep a connection alive while a token is computed are far shorter.
    constexpr std::size_t maxUnusedBytes = 65536;
    // Text of an answer that is collected; an answer that is not streamed by its upstream has the same limit.
    constexpr std::size_t maxCollectedBytes = maxRpcBytes;
    constexpr int statusOk = 200;

    bool exceed(RequestFlow& flow, const char* limit)
    {
        flow.exceededLimit = limit;
        flow.isStreamBroken = true;
        return false;
    }

    bool countUnused(RequestFlow& flow, std::size_t bytes)
    {
        flow.unusedBytes += bytes;
        return flow.unusedBytes <= maxUnusedBytes || exceed(flow, "no-tokens");
    }
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
    return exceed(flow, "event");
}

bool TokenStream::receiveEvent(RequestFlow& flow, std::string_view event)
{
    if (event.substr(0, brokenPrefix.size()) == brokenPrefix) {
        flow.isStreamBroken = true;
        return countUnused(flow, event.size() + eventEnd.size());
    }
    if (event.substr(0, dataPrefix.size()) != dataPrefix)
        return countUnused(flow, event.size() + eventEnd.size());
    event.remove_prefix(dataPrefix.size());
    if (event == doneText) {
        flow.isStreamDone = true;
        return countUnused(flow, event.size() + eventEnd.size());
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
    flow.unusedBytes = 0;
    if (index < flow.acceptedTokens)
        return ++flow.repeatedTokens <= flow.acceptedTokens || exceed(flow, "repeated-tokens");
    if (index > flow.acceptedTokens)
        return false;
    const auto& text = token["token"].get_ref<const std::string&>();
    if (!flow.wantsStream && flow.collectedText.size() + text.size() > maxCollectedBytes)
        return exceed(flow, "collected-text");
    ++flow.acceptedTokens;
    if (!flow.wantsStream) {
        flow.collectedText += text;
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
