#include "PeerAuthenticator.h"

#include <cstdlib>
#include <deque>
#include <mutex>
#include <sstream>
#include <unordered_set>

namespace hyssopwick {

namespace {

    constexpr UnixMilliseconds maxClockOffset = 30'000;
    constexpr std::size_t maxSeenNonces = 200'000;

    std::string signature(const PeerKey& key, const std::string& time, const std::string& nonce, const std::string& path,
        const Digest& bodyDigest)
    {
        return hmacHex(key.secret, key.id + "\n" + time + "\n" + nonce + "\n" + path + "\n" + bodyDigest.hex());
    }

    std::vector<std::string> splitFields(const std::string& header)
    {
        std::vector<std::string> fields;
        std::istringstream in(header);
        for (std::string field; std::getline(in, field, ':');)
            fields.push_back(field);
        return fields;
    }

}

struct PeerAuthenticator::State {
    State(std::vector<PeerKey> peerKeys, std::uint64_t seed)
        : keys(std::move(peerKeys))
        , random(seed)
    {
    }

    std::mutex mutex; // guards all members below
    std::vector<PeerKey> keys;
    RandomSource random;
    std::unordered_set<std::string> seenNonces;
    std::deque<std::pair<UnixMilliseconds, std::string>> noncesByAge;

    bool rememberNonce(const std::string& nonce, UnixMilliseconds now)
    {
        while (!noncesByAge.empty() && noncesByAge.front().first + 2 * maxClockOffset < now) {
            seenNonces.erase(noncesByAge.front().second);
            noncesByAge.pop_front();
        }
        if (seenNonces.size() >= maxSeenNonces || !seenNonces.insert(nonce).second)
            return false;
        noncesByAge.emplace_back(now, nonce);
        return true;
    }
};

PeerAuthenticator::PeerAuthenticator(std::vector<PeerKey> keys, std::uint64_t seed)
    : m_state(std::make_unique<State>(std::move(keys), seed))
{
}

PeerAuthenticator::~PeerAuthenticator() = default;

std::string PeerAuthenticator::sign(const std::string& path, const Digest& bodyDigest, UnixMilliseconds now)
{
    std::lock_guard<std::mutex> lock(m_state->mutex);
    const auto& key = m_state->keys.front();
    char nonce[17];
    std::snprintf(nonce, sizeof nonce, "%016llx", static_cast<unsigned long long>(m_state->random.next()));
    const auto time = std::to_string(now);
    return key.id + ":" + time + ":" + nonce + ":" + signature(key, time, nonce, path, bodyDigest);
}

Outcome<void> PeerAuthenticator::verify(const std::string& header, const std::string& path, const Digest& bodyDigest, UnixMilliseconds now)
{
    const auto fields = splitFields(header);
    if (fields.size() != 4)
        return failure(ErrorCode::Unauthenticated, "authentication header is missing or malformed");
    const auto sentAt = std::strtoll(fields[1].c_str(), nullptr, 10);
    if (std::llabs(now - sentAt) > maxClockOffset)
        return failure(ErrorCode::Unauthenticated, "message time is outside the accepted window");
    std::lock_guard<std::mutex> lock(m_state->mutex);
    for (const auto& key : m_state->keys) {
        if (key.id != fields[0])
            continue;
        if (!constantTimeEquals(signature(key, fields[1], fields[2], path, bodyDigest), fields[3]))
            return failure(ErrorCode::Unauthenticated, "signature does not match");
        if (!m_state->rememberNonce(fields[2], now))
            return failure(ErrorCode::Unauthenticated, "message was replayed");
        return success();
    }
    return failure(ErrorCode::Unauthenticated, "key is not known");
}

}
