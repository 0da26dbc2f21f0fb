#include "ViewMessage.h"

#include "../http/Compression.h"

#include <charconv>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

namespace hyssopwick {

namespace {
    // A smaller update takes one or two packets, compressed or not.
    constexpr std::size_t minCompressedBytes = 4096;
    // Followers know the last revision or the one before; those that start know none. The
    // limit saves memory of the entry VM.
    constexpr std::size_t maxCachedEncodings = 4;
    constexpr std::size_t maxDigits = 18;
    constexpr int hexadecimalBase = 16;
    constexpr std::string_view viewPath = "/view?after=";
    constexpr std::string_view eraParameter = "&era=";
    constexpr const char* ageField = "View-Age-Ms";
    constexpr const char* confirmedAgeField = "View-Confirmed-Ms";
    constexpr const char* heldField = "View-Held-Ms";
    constexpr const char* maxAgeField = "View-Max-Age-Ms";
    constexpr const char* versionAgesField = "View-Versions"; // [[MODEL, VERSION, MILLISECONDS], ...]
    constexpr const char* estimatedAgesField = "View-Estimated-Versions";
    constexpr const char* contentDigestField = "View-Content";
    constexpr const char* doubtField = "View-Content-Differs";
    constexpr int noIndent = -1;
    // Only a sanity check: ten years, still far below the range of a time.
    constexpr std::uint64_t maxVersionAgeMilliseconds = std::uint64_t(10) * 365 * 24 * 3600 * 1000;
    constexpr const char* codingField = "Content-Encoding";
    constexpr const char* deflateCoding = "deflate";

    Outcome<std::uint64_t> decodeNumber(std::string_view text)
    {
        if (text.empty() || text.size() > maxDigits || text.find_first_not_of("0123456789") != std::string_view::npos)
            return failure(ErrorCode::InvalidInput, "malformed view: number \"" + std::string(text) + "\"");
        return std::stoull(std::string(text));
    }

    // A build that tells only the age takes its view for confirmed then.
    Outcome<ViewTimes> decodeTimes(const HeaderFields& fields)
    {
        const auto age = headerValue(fields, ageField);
        const auto confirmedAge = headerValue(fields, confirmedAgeField);
        const auto held = headerValue(fields, heldField);
        BOOST_OUTCOME_TRY(ageMilliseconds, decodeNumber(age));
        BOOST_OUTCOME_TRY(confirmedMilliseconds, decodeNumber(confirmedAge.empty() ? age : confirmedAge));
        BOOST_OUTCOME_TRY(heldMilliseconds, decodeNumber(held.empty() ? "0" : held));
        return ViewTimes { Milliseconds(ageMilliseconds), Milliseconds(confirmedMilliseconds), Milliseconds(heldMilliseconds) };
    }

    std::string encodeVersionAges(const VersionAges& ages)
    {
        auto json = nlohmann::json::array();
        for (const auto& [weights, age] : ages)
            json.push_back({ weights.model, weights.version, age.count() });
        return json.dump(noIndent, ' ', true); // escapes what a header field may not hold
    }

    Outcome<VersionAges> decodeVersionAges(std::string_view text)
    {
        if (text.empty())
            return VersionAges {};
        try {
            VersionAges ages;
            for (const auto& item : nlohmann::json::parse(text)) {
                if (!item.at(1).is_number_unsigned() || !item.at(2).is_number_unsigned() || item.at(2).get<std::uint64_t>() > maxVersionAgeMilliseconds)
                    return failure(ErrorCode::InvalidInput, "malformed view: ages of versions");
                ages[{ item.at(0).get<std::string>(), item.at(1).get<std::uint64_t>() }] = Milliseconds(item.at(2).get<std::int64_t>());
            }
            return ages;
        } catch (const std::exception& problem) {
            return failure(ErrorCode::InvalidInput, std::string("malformed view: ages of versions: ") + problem.what());
        }
    }

    Outcome<ViewUpdate> decodeUpdate(const std::string& bytes)
    {
        try {
            const auto json = nlohmann::json::from_cbor(bytes);
            ViewUpdate update;
            json.at(0).get_to(update.revision);
            json.at(1).get_to(update.isSnapshot);
            json.at(3).get_to(update.era);
            for (const auto& record : json.at(2).get_ref<const nlohmann::json::array_t&>())
                update.records.push_back({ record.at(0), record.at(1), record.at(2), record.at(3) });
            return update;
        } catch (const std::exception& problem) {
            return failure(ErrorCode::InvalidInput, std::string("malformed view: ") + problem.what());
        }
    }
}

std::string encodeViewTarget(const StorePosition& known)
{
    return std::string(viewPath) + std::to_string(known.revision) + std::string(eraParameter) + std::to_string(known.era);
}

HttpCall encodeViewCall(const StorePosition& known, Milliseconds maxAge, std::optional<std::uint64_t> contentDigest)
{
    HttpCall call { "GET", encodeViewTarget(known), { { maxAgeField, std::to_string(maxAge.count()) } }, "" };
    if (contentDigest)
        call.fields.emplace_back(contentDigestField, contentDigestText(*contentDigest));
    return call;
}

HttpCall encodeDoubtfulViewCall(const StorePosition& known, Milliseconds maxAge)
{
    auto call = encodeViewCall({ known.era, 0 }, maxAge);
    call.fields.emplace_back(doubtField, "1");
    return call;
}

std::string contentDigestText(std::uint64_t digest)
{
    std::ostringstream text;
    text << std::hex << std::setw(16) << std::setfill('0') << digest;
    return text.str();
}

// One that cannot be read is that of a build with another digest, which cannot be compared.
std::optional<std::uint64_t> decodeContentDigest(const HeaderFields& fields)
{
    const auto text = headerValue(fields, contentDigestField);
    std::uint64_t digest = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), digest, hexadecimalBase);
    return result.ec == std::errc() && result.ptr == text.data() + text.size() ? std::optional<std::uint64_t>(digest) : std::nullopt;
}

bool isViewInDoubt(const HeaderFields& fields) { return !headerValue(fields, doubtField).empty(); }

std::optional<Milliseconds> decodeMaxAge(const HeaderFields& fields)
{
    const auto milliseconds = decodeNumber(headerValue(fields, maxAgeField));
    return milliseconds ? std::optional<Milliseconds>(milliseconds.value()) : std::nullopt;
}

bool isViewTarget(std::string_view target) { return target.substr(0, viewPath.size()) == viewPath; }

std::optional<StorePosition> decodeViewTarget(std::string_view target)
{
    if (!isViewTarget(target))
        return std::nullopt;
    const auto text = target.substr(viewPath.size());
    const auto separator = text.find(eraParameter);
    const auto revision = decodeNumber(text.substr(0, separator));
    const auto era = separator == std::string_view::npos ? Outcome<std::uint64_t>(0) : decodeNumber(text.substr(separator + eraParameter.size()));
    if (!revision || !era)
        return std::nullopt;
    return StorePosition { era.value(), revision.value() };
}

HeaderFields EncodedView::fields(const ViewTimes& times, const VersionAges& versionAges, const VersionAges& estimatedAges) const
{
    HeaderFields fields { { ageField, std::to_string(times.age.count()) }, { confirmedAgeField, std::to_string(times.confirmedAge.count()) }, { heldField, std::to_string(times.held.count()) } };
    if (isCompressed)
        fields.emplace_back(codingField, deflateCoding);
    if (contentDigest)
        fields.emplace_back(contentDigestField, contentDigestText(*contentDigest));
    if (!versionAges.empty())
        fields.emplace_back(versionAgesField, encodeVersionAges(versionAges));
    if (!estimatedAges.empty())
        fields.emplace_back(estimatedAgesField, encodeVersionAges(estimatedAges));
    return fields;
}

EncodedView encodeView(const ViewUpdate& update)
{
    EncodedView encoded;
    encoded.isSnapshot = update.isSnapshot;
    encoded.isEmpty = update.records.empty();
    auto records = nlohmann::json::array();
    for (const auto& record : update.records)
        records.push_back({ record.key, record.value, record.revision, record.isDeleted });
    nlohmann::json::to_cbor(nlohmann::json::array({ update.revision, update.isSnapshot, std::move(records), update.era }), encoded.body);
    if (encoded.body.size() < minCompressedBytes)
        return encoded;
    // Without memory to compress it, the update is sent uncompressed.
    if (auto compressed = compress(encoded.body)) {
        encoded.body = std::move(compressed.value());
        encoded.isCompressed = true;
    }
    return encoded;
}

Outcome<ReceivedView> decodeView(const HeaderFields& fields, const std::string& body, std::size_t maxBytes)
{
    BOOST_OUTCOME_TRY(times, decodeTimes(fields));
    BOOST_OUTCOME_TRY(versionAges, decodeVersionAges(headerValue(fields, versionAgesField)));
    BOOST_OUTCOME_TRY(estimatedAges, decodeVersionAges(headerValue(fields, estimatedAgesField)));
    // A build that does not tell for how long it held a request may have read of a version late.
    if (headerValue(fields, heldField).empty())
        estimatedAges.swap(versionAges);
    const auto contentDigest = decodeContentDigest(fields);
    const auto coding = headerValue(fields, codingField);
    if (!coding.empty() && coding != deflateCoding)
        return failure(ErrorCode::InvalidInput, "malformed view: content coding \"" + std::string(coding) + "\"");
    if (coding.empty()) {
        BOOST_OUTCOME_TRY(update, decodeUpdate(body));
        return ReceivedView { std::move(update), times, std::move(versionAges), std::move(estimatedAges), contentDigest };
    }
    BOOST_OUTCOME_TRY(bytes, decompress(body, maxBytes));
    BOOST_OUTCOME_TRY(update, decodeUpdate(bytes));
    return ReceivedView { std::move(update), times, std::move(versionAges), std::move(estimatedAges), contentDigest };
}

std::shared_ptr<const EncodedView> EncodedViewCache::updateSince(const StoreView& view, const StorePosition& known)
{
    const auto cached = m_byPosition.find(known);
    if (cached != m_byPosition.end())
        return cached->second;
    auto encodedNow = encodeView(view.updateSince(known));
    encodedNow.contentDigest = view.contentDigest();
    const auto encoded = std::make_shared<const EncodedView>(std::move(encodedNow));
    if (m_byPosition.size() < maxCachedEncodings)
        m_byPosition.emplace(known, encoded);
    return encoded;
}

}
