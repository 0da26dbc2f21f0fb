#include "AddressBook.h"

#include <nlohmann/json.hpp>

namespace hyssopwick::soak {

namespace {
    constexpr Milliseconds directoryTimeout { 1000 };
    constexpr Milliseconds retryPeriod { 300 };
    constexpr std::size_t maxDirectories = 3;
    constexpr double maxLifetimeSeconds = 5;
    constexpr const char* query = "/-/resolve?name=models.example&region=north&zone=north-a";
}

AddressBook::AddressBook(EventLoop& loop, std::vector<std::string> directories, unsigned lifetimeFactor)
    : m_loop(loop)
    , m_directories(std::move(directories))
    , m_lifetimeFactor(lifetimeFactor)
{
}

void AddressBook::refresh()
{
    if (m_isAsking || now() < m_expiresAt)
        return;
    m_isAsking = true;
    ask(0);
}

void AddressBook::ask(std::size_t directory)
{
    if (directory >= std::min(maxDirectories, m_directories.size())) {
        m_isAsking = false;
        m_expiresAt = now() + retryPeriod;
        return;
    }
    const auto connection = std::make_shared<ClientConnection>(m_loop, m_directories[directory]);
    const auto timer = std::make_shared<Timer>(m_loop, directoryTimeout);
    timer->async_wait([this, timer, connection, directory](boost::system::error_code error) {
        if (error)
            return;
        connection->close();
        ask(directory + 1);
    });
    const auto host = m_directories[directory];
    connection->exchange(requestText("GET", query, { { "Host", host }, { "Connection", "close" } }, ""), { nullptr, nullptr, [this, timer, connection, directory](ExchangeEnd end) {
                                                                                                              if (timer->cancel() == 0)
                                                                                                                  return;
                                                                                                              if (end != ExchangeEnd::Complete || !adopt(connection->response()))
                                                                                                                  ask(directory + 1);
                                                                                                              connection->close();
                                                                                                          } });
}

bool AddressBook::adopt(const HttpMessage& response)
{
    if (response.status() != 200)
        return false;
    const auto json = nlohmann::json::parse(response.body, nullptr, false);
    if (!json.is_object() || !json.contains("addresses") || !json.contains("ttlS"))
        return false;
    m_addresses.clear();
    for (const auto& address : json.at("addresses"))
        m_addresses.insert(address.get<std::string>());
    m_failed.clear();
    m_expiresAt = now() + fromSeconds(m_lifetimeFactor * std::min(maxLifetimeSeconds, json.at("ttlS").get<double>()));
    m_isAsking = false;
    return !m_addresses.empty();
}

std::string AddressBook::choose(Random& random) const
{
    std::vector<std::string> usable;
    for (const auto& address : m_addresses) {
        if (m_failed.count(address) == 0)
            usable.push_back(address);
    }
    if (usable.empty())
        usable.assign(m_addresses.begin(), m_addresses.end());
    return usable.empty() ? std::string() : usable[random.below(usable.size())];
}

}
