#include "Head.h"

#include <nlohmann/json.hpp>

namespace hyssopwick {

std::string headToText(const Head& head)
{
    return nlohmann::json { { "revision", head.revision }, { "bundle", head.bundle.hex() }, { "parts", head.parts },
        { "schema", head.schema }, { "nonce", head.nonce }, { "author", head.author }, { "accepted_at", head.acceptedAt } }
        .dump();
}

Outcome<Head> headFromText(const std::string& text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        Head head;
        head.revision = json.at("revision").get<ConfigurationRevision>();
        head.bundle = Digest::fromHex(json.at("bundle").get<std::string>());
        head.parts = json.at("parts").get<std::int64_t>();
        head.schema = json.at("schema").get<std::int64_t>();
        head.nonce = json.at("nonce").get<std::string>();
        head.author = json.at("author").get<std::string>();
        head.acceptedAt = json.at("accepted_at").get<UnixMilliseconds>();
        if (head.bundle.isEmpty() || head.parts < 1)
            return failure(ErrorCode::InvalidInput, "head has no bundle");
        return head;
    } catch (const std::exception& exception) {
        return failure(ErrorCode::InvalidInput, std::string("malformed head: ") + exception.what());
    }
}

std::string bundlePartKey(const Digest& bundle, std::int64_t part)
{
    return "hyssopwick/bundle/" + bundle.hex() + "/" + std::to_string(part);
}

}
