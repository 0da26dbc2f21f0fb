#include "OriginStandIn.h"

#include "Weights.h"

namespace hyssopwick::soak {

OriginStandIn::OriginStandIn(EventLoop& loop, const std::string& address)
    : m_server(loop, address, [this](const ServerConnectionPointer& connection) { serve(connection); })
{
}

void OriginStandIn::serve(const ServerConnectionPointer& connection)
{
    const auto& request = connection->request();
    const auto path = request.path();
    const auto version = std::stoull("0" + request.parameter("version"));
    if (path == std::string("/-/manifest/") + modelName)
        return connection->respondJson(200, manifestOf(version));
    const auto number = std::stoul("0" + request.parameter("num"));
    if (path == std::string("/-/piece/") + modelName && number < pieceCount)
        return connection->respond(200, {}, pieceOf(version, static_cast<unsigned>(number)));
    connection->respond(404, {}, "");
}

}
