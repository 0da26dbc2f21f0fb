#include "VmListClient.h"

#include <nlohmann/json.hpp>

namespace hyssopwick {

namespace {
    constexpr Milliseconds callTimeout { 1500 };
    constexpr int statusOk = 200;
}

VmListClient::VmListClient(HttpClient& client, std::string address)
    : m_client(client)
    , m_address(std::move(address))
{
}

Outcome<std::vector<ListedVm>> VmListClient::read()
{
    HttpClientRequest request;
    request.method = "GET";
    request.url = "http://" + m_address + "/v1/vms";
    request.deadline = monotonicNow() + callTimeout;
    const auto answer = m_client.send(std::move(request));
    if (!answer)
        return failure(ErrorCode::Unavailable, answer.error().message);
    const auto json = nlohmann::json::parse(answer.value().body, nullptr, false);
    if (answer.value().status != statusOk || !json.is_object() || !json.contains("vms") || !json["vms"].is_array())
        return failure(ErrorCode::Unavailable, "VM list answered status " + std::to_string(answer.value().status));
    std::vector<ListedVm> vms;
    for (const auto& item : json["vms"]) {
        ListedVm vm;
        vm.identity = { item.value("id", ""), item.value("address", ""), item.value("region", ""), item.value("failure_domain", ""), item.value("kind", "") };
        vm.isLeaving = item.value("state", "live") == "leaving";
        vms.push_back(std::move(vm));
    }
    return vms;
}

}
