#pragma once

#include "../http/HttpClient.h"
#include "KeyValueStore.h"

namespace hyssopwick {

/// Client for the platform's key-value service over HTTP and JSON; docs/PLATFORM.md
/// describes the interface.
class KeyValueClient : public KeyValueStore {
public:
    /// \param address  "ip:port" of the service
    /// \param caller   name of this process, for the service's own accounting
    KeyValueClient(HttpClient& client, std::string address, std::string caller);

    Outcome<KeyValue> read(const std::string& key) override;
    Outcome<KeyValue> watch(const std::string& key, KeyRevision after, TimePoint deadline) override;
    Outcome<SwapResult> swap(const std::string& key, KeyRevision expected, const std::string& value, Milliseconds timeToLive) override;
    Outcome<SwapResult> remove(const std::string& key, KeyRevision expected) override;
    Outcome<std::vector<std::string>> list(const std::string& prefix) override;

private:
    Outcome<std::string> post(const std::string& path, std::string body, TimePoint deadline, bool isWrite);

    HttpClient& m_client;
    std::string m_address;
    std::string m_caller;
};

}
