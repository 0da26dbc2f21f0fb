#include "StoreStandIn.h"

#include <openssl/evp.h>

namespace hyssopwick::soak {

namespace {
    constexpr Milliseconds expiryPeriod { 50 };
    constexpr std::size_t pageItems = 10; // so that a small fleet is read in several pages

    std::string base64(const std::string& bytes)
    {
        std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
        const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
        text.resize(static_cast<std::size_t>(size));
        return text;
    }

    bool startsWith(const std::string& text, const std::string& prefix) { return text.compare(0, prefix.size(), prefix) == 0; }

    template <typename Item>
    Json itemJson(const std::string& key, const Item& item)
    {
        if (item.isDeleted)
            return { { "key", key }, { "revision", item.revision }, { "deleted", true } };
        return { { "key", key }, { "value", item.value }, { "revision", item.revision }, { "created", item.created }, { "lease", item.lease } };
    }
}

StoreStandIn::StoreStandIn(EventLoop& loop, const std::string& address)
    : m_timer(loop)
    , m_server(loop, address, [this](const ServerConnectionPointer& connection) { serve(connection); })
{
    expirePeriodically();
}

void StoreStandIn::set(const std::string& key, const Json& value)
{
    write(key, base64(value.dump()), 0);
    answerWatches();
}

void StoreStandIn::remove(const std::string& key)
{
    erase(key);
    answerWatches();
}

void StoreStandIn::serve(const ServerConnectionPointer& connection)
{
    const auto path = connection->request().path();
    if (path == "/-/kv-range")
        return serveRange(connection);
    if (path == "/-/kv-watch")
        return serveWatch(connection);
    if (path == "/-/kv-txn")
        return serveTransaction(connection, Json::parse(connection->request().body));
    if (path == "/-/kv-lease") {
        const auto ttl = Json::parse(connection->request().body).at("ttlMs").get<std::int64_t>();
        m_leases[++m_lastLease] = { now() + Milliseconds(ttl), ttl };
        return connection->respondJson(200, Json { { "lease", m_lastLease }, { "ttlMs", ttl } }.dump());
    }
    serveLease(connection, path);
}

void StoreStandIn::serveRange(const ServerConnectionPointer& connection)
{
    const auto prefix = connection->request().parameter("prefix");
    auto items = Json::array();
    bool hasMore = false;
    for (auto item = m_items.upper_bound(connection->request().parameter("after")); item != m_items.end() && !hasMore; ++item) {
        if (item->second.isDeleted || !startsWith(item->first, prefix))
            continue;
        hasMore = items.size() == pageItems;
        if (!hasMore)
            items.push_back(itemJson(item->first, item->second));
    }
    connection->respondJson(200, Json { { "items", items }, { "hasMore", hasMore }, { "at", m_revision } }.dump());
}

void StoreStandIn::serveWatch(const ServerConnectionPointer& connection)
{
    const auto& request = connection->request();
    const Milliseconds wait(std::stoll("0" + request.parameter("waitMs")));
    m_watches.push_back({ connection, request.parameter("prefix"), std::stoull("0" + request.parameter("after")), now() + wait });
    answerWatches();
}

void StoreStandIn::serveTransaction(const ServerConnectionPointer& connection, const Json& body)
{
    auto current = Json::array();
    bool holds = true;
    for (const auto& row : body.at("expected")) {
        const auto found = m_items.find(row.at("key").get<std::string>());
        const bool exists = found != m_items.end() && !found->second.isDeleted;
        holds = holds && row.at("revision").get<std::uint64_t>() == (exists ? found->second.revision : 0);
        if (exists)
            current.push_back(itemJson(found->first, found->second));
    }
    if (!holds)
        return connection->respondJson(412, Json { { "items", current } }.dump());
    for (const auto& row : body.at("setKeys")) {
        const auto lease = row.value("lease", std::uint64_t(0));
        if (lease != 0 && m_leases.count(lease) == 0)
            return connection->respondJson(404, "{}");
    }
    for (const auto& row : body.at("setKeys"))
        write(row.at("key").get<std::string>(), row.at("value").get<std::string>(), row.value("lease", std::uint64_t(0)));
    for (const auto& key : body.at("remove"))
        erase(key.get<std::string>());
    connection->respondJson(200, Json { { "revision", m_revision } }.dump());
    answerWatches();
}

void StoreStandIn::serveLease(const ServerConnectionPointer& connection, const std::string& path)
{
    const auto slash = path.rfind('/');
    const auto call = path.substr(0, slash);
    const bool isKnownCall = call == "/-/kv-keep" || call == "/-/kv-lease-end";
    const auto found = isKnownCall ? m_leases.find(std::stoull("0" + path.substr(slash + 1))) : m_leases.end();
    if (found == m_leases.end())
        return connection->respondJson(404, "{}");
    if (call == "/-/kv-keep") {
        found->second.expiresAt = now() + Milliseconds(found->second.ttlMs);
        return connection->respondJson(200, Json { { "lease", found->first }, { "ttlMs", found->second.ttlMs } }.dump());
    }
    const auto lease = found->first;
    m_leases.erase(found);
    endLease(lease);
    connection->respondJson(200, "{}");
    answerWatches();
}

void StoreStandIn::write(const std::string& key, const std::string& value, std::uint64_t lease)
{
    auto& item = m_items[key];
    ++m_revision;
    const auto created = item.revision == 0 || item.isDeleted ? m_revision : item.created;
    item = { value, m_revision, created, lease, false };
}

void StoreStandIn::erase(const std::string& key)
{
    const auto found = m_items.find(key);
    if (found != m_items.end() && !found->second.isDeleted)
        found->second = { "", ++m_revision, 0, 0, true };
}

void StoreStandIn::endLease(std::uint64_t lease)
{
    for (auto& [key, item] : m_items) {
        if (!item.isDeleted && item.lease == lease)
            item = { "", ++m_revision, 0, 0, true };
    }
}

Json StoreStandIn::changesAfter(const std::string& prefix, std::uint64_t revision) const
{
    std::map<std::uint64_t, Json> events;
    for (const auto& [key, item] : m_items) {
        if (item.revision > revision && startsWith(key, prefix))
            events[item.revision] = itemJson(key, item);
    }
    auto list = Json::array();
    for (auto& [at, event] : events)
        list.push_back(std::move(event));
    return list;
}

void StoreStandIn::answerWatches()
{
    for (auto watch = m_watches.begin(); watch != m_watches.end();) {
        const auto connection = watch->connection.lock();
        const auto events = changesAfter(watch->prefix, watch->after);
        if (connection && connection->isOpen() && events.empty() && now() < watch->expiresAt) {
            ++watch;
            continue;
        }
        if (connection && connection->isOpen())
            connection->respondJson(200, Json { { "events", events }, { "at", m_revision } }.dump());
        watch = m_watches.erase(watch);
    }
}

void StoreStandIn::expirePeriodically()
{
    for (auto lease = m_leases.begin(); lease != m_leases.end();) {
        if (now() < lease->second.expiresAt) {
            ++lease;
            continue;
        }
        endLease(lease->first);
        lease = m_leases.erase(lease);
    }
    answerWatches();
    m_timer.expires_after(expiryPeriod);
    m_timer.async_wait([this](boost::system::error_code error) {
        if (!error)
            expirePeriodically();
    });
}

}
