#pragma once

#include "HttpServer.h"

namespace hyssopwick::soak {

/// The origin of the weights.
class OriginStandIn {
public:
    OriginStandIn(EventLoop& loop, const std::string& address);

    const std::string& address() const { return m_server.address(); }

private:
    void serve(const ServerConnectionPointer& connection);

    HttpServer m_server;
};

}
