#pragma once

#include "../http/HttpClient.h"

namespace hyssopwick {

/// A VM in the platform's list.
struct ListedVm {
    VmIdentity identity;
    bool isLeaving = false;

    bool operator==(const ListedVm& other) const { return identity == other.identity && isLeaving == other.isLeaving; }
    bool operator!=(const ListedVm& other) const { return !(*this == other); }
};

/// Reads the platform's list of live and leaving VMs. The list may be out of date.
class VmListClient {
public:
    /// \param address  "ip:port" of the platform's VM list service
    VmListClient(HttpClient& client, std::string address);

    /// Reads the list; fails with ErrorCode::Unavailable.
    Outcome<std::vector<ListedVm>> read();

private:
    HttpClient& m_client;
    std::string m_address;
};

}
