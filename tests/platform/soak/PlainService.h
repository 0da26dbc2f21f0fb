#pragma once

#include "HttpServer.h"
#include "Journal.h"
#include "StoreStandIn.h"

namespace hyssopwick::soak {

/// A worker of a service without streams.
class PlainService {
public:
    PlainService(EventLoop& loop, StoreStandIn& store, Journal& journal, std::string id, const std::string& address);

private:
    void serve(const ServerConnectionPointer& connection);

    EventLoop& m_loop;
    Journal& m_journal;
    std::string m_id;
    HttpServer m_server;
};

}
