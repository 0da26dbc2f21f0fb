#include "FakeVmList.h"

namespace hyssopwick {

namespace {
    constexpr int statusOk = 200;
    constexpr int statusUnavailable = 503;
}

FakeVmList::FakeVmList(std::string address)
    : FakeServer(std::move(address))
{
}

void FakeVmList::set(const std::vector<ListedVm>& vms)
{
    auto list = nlohmann::json::array();
    for (const auto& vm : vms)
        list.push_back({ { "id", vm.identity.id }, { "address", vm.identity.address }, { "region", vm.identity.region }, { "failure_domain", vm.identity.failureDomain }, { "kind", vm.identity.kind }, { "state", vm.isLeaving ? "leaving" : "live" } });
    publish(std::move(list));
}

void FakeVmList::publish(nlohmann::json list)
{
    const auto lag = Milliseconds(static_cast<std::int64_t>(fault("lag_ms")));
    scheduler().at(monotonicNow() + lag, [this, list = std::move(list)] {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_visible = list;
    });
}

void FakeVmList::handle(HttpRequest request, HttpResponderPointer responder)
{
    if (request.method == "POST") {
        publish(nlohmann::json::parse(request.body, nullptr, false));
        responder->send(statusOk, "{}");
        return;
    }
    if (fault("outage") > 0) {
        responder->send(statusUnavailable, "outage");
        return;
    }
    std::lock_guard<std::mutex> lock(m_mutex);
    responder->send(statusOk, nlohmann::json { { "vms", m_visible } }.dump());
}

}
