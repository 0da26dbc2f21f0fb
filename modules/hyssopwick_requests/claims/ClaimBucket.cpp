#include "ClaimBucket.h"

#include <nlohmann/json.hpp>

namespace hyssopwick {

namespace {
    constexpr std::size_t claimOverheadBytes = 160;
    constexpr std::size_t shortDigestDigits = 32;

    // Half of a SHA-256 digest keeps values small and collisions practically impossible.
    std::string shortDigest(const Digest& digest) { return digest.hex().substr(0, shortDigestDigits); }
}

Outcome<ClaimBucket> ClaimBucket::parse(const std::string& text)
{
    ClaimBucket bucket;
    if (text.empty())
        return bucket;
    try {
        const auto json = nlohmann::json::parse(text);
        for (const auto& [identity, item] : json.at("claims").items()) {
            Claim claim;
            claim.state = static_cast<ClaimState>(item.at("s").get<int>());
            claim.holder = item.at("h").get<std::string>();
            claim.body = item.at("b").get<std::string>();
            if (claim.state == ClaimState::Done)
                claim.outcome = { item.at("o").get<int>(), item.at("r").get<std::string>() };
            bucket.m_claims.emplace(identity, std::move(claim));
        }
    } catch (const std::exception& exception) {
        return failure(ErrorCode::InvalidInput, std::string("malformed claim bucket: ") + exception.what());
    }
    bucket.m_textBytes = text.size();
    return bucket;
}

std::string ClaimBucket::text() const
{
    auto claims = nlohmann::json::object();
    for (const auto& [identity, claim] : m_claims) {
        auto& item = claims[identity];
        item = { { "s", static_cast<int>(claim.state) }, { "h", claim.holder }, { "b", claim.body } };
        if (claim.state == ClaimState::Done) {
            item["o"] = claim.outcome.status;
            item["r"] = claim.outcome.body;
        }
    }
    return nlohmann::json { { "claims", claims } }.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

ClaimResult ClaimBucket::apply(const ClaimOperation& operation)
{
    return std::visit([this](const auto& value) { return applyOne(value); }, operation);
}

ClaimResult ClaimBucket::applyOne(const ClaimRequest& request)
{
    const auto body = shortDigest(request.body);
    const auto found = m_claims.find(shortDigest(request.identity));
    if (found == m_claims.end()) {
        if (m_textBytes + claimOverheadBytes > maxTextBytes)
            return { ClaimAnswer::BucketFull, std::nullopt };
        m_textBytes += claimOverheadBytes;
        m_claims.emplace(shortDigest(request.identity), Claim { ClaimState::Claimed, request.holder, body, {} });
        return { ClaimAnswer::Granted, std::nullopt };
    }
    auto& claim = found->second;
    if (claim.body != body)
        return { ClaimAnswer::BodyDiffers, std::nullopt };
    if (claim.state == ClaimState::Done)
        return { ClaimAnswer::OutcomeKnown, claim.outcome };
    if (claim.state == ClaimState::Released) {
        claim.state = ClaimState::Claimed;
        claim.holder = request.holder;
    }
    const bool isHolder = claim.holder == request.holder;
    return { isHolder ? ClaimAnswer::Granted : ClaimAnswer::HeldByOther, std::nullopt };
}

ClaimResult ClaimBucket::applyOne(const ClaimRelease& release)
{
    const auto found = m_claims.find(shortDigest(release.identity));
    if (found == m_claims.end() || found->second.holder != release.holder || found->second.state == ClaimState::Done)
        return { ClaimAnswer::Refused, std::nullopt };
    found->second.state = ClaimState::Released;
    return { ClaimAnswer::Granted, std::nullopt };
}

ClaimResult ClaimBucket::applyOne(const ClaimCompletion& completion)
{
    const auto found = m_claims.find(shortDigest(completion.identity));
    if (found == m_claims.end() || found->second.holder != completion.holder || found->second.state == ClaimState::Released)
        return { ClaimAnswer::Refused, std::nullopt };
    if (completion.outcome.body.size() > maxOutcomeBytes || m_textBytes + completion.outcome.body.size() > maxTextBytes)
        return { ClaimAnswer::Refused, std::nullopt };
    if (found->second.state != ClaimState::Done)
        m_textBytes += completion.outcome.body.size();
    found->second.state = ClaimState::Done;
    found->second.outcome = completion.outcome;
    return { ClaimAnswer::Granted, std::nullopt };
}

}
