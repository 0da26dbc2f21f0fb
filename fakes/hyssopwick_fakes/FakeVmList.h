#pragma once

#include "FakeServer.h"

namespace hyssopwick {

/// Fake of the platform's list of VMs: a change becomes visible only after a lag.
/// POST /vms replaces the list. Fault switches: "outage", "lag_ms".
class FakeVmList : public FakeServer {
public:
    explicit FakeVmList(std::string address);

    /// Replaces the list; the change becomes visible after the lag.
    void set(const std::vector<ListedVm>& vms);

protected:
    void handle(HttpRequest request, HttpResponderPointer responder) override;

private:
    void publish(nlohmann::json list);

    std::mutex m_mutex; // guards m_visible
    nlohmann::json m_visible = nlohmann::json::array();
};

}
