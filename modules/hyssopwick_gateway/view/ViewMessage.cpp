#include "ViewMessage.h"

#include "../http/Compression.h"

#include <nlohmann/json.hpp>

namespace hyssopwick {

namespace {
    // A smaller update takes one or two packets, compressed or not.
    constexpr std::size_t minCompressedBytes = 4096;
    // Only a sanity check: some hundred times a configuration of 1,370 routes.
    constexpr std::size_t maxViewBytes = std::size_t(64) << 20;
    // Followers know the last revision or the one before; those that start know none. The
    // limit saves memory of the entry VM.
    constexpr std::size_t maxCachedEncodings = 4;
    constexpr std::size_t maxDigits = 18;
    constexpr const char* ageField = "View-Age-Ms";
    constexpr const char* versionAgesField = "View-Version-Ages"; // REVISION:MILLISECONDS, ...
    constexpr const char* codingField = "Content-Encoding";
    constexpr const char* deflateCoding = "deflate";

    Outcome<std::uint64_t> decodeNumber(const std::string& text)
    {
        if (text.empty() || text.size() > maxDigits || text.find_first_not_of("0123456789") != std::string::npos)
            return failure(ErrorCode::InvalidInput, "malformed view: number \"" + text + "\"");
        return std::stoull(text);
    }

    Outcome<VersionAges> decodeVersionAges(const std::string& text)
    {
        VersionAges ages;
        for (std::size_t begin = 0; begin < text.size();) {
            const auto end = std::min(text.find(',', begin), text.size());
            const auto colon = std::min(text.find(':', begin), end);
            BOOST_OUTCOME_TRY(revision, decodeNumber(text.substr(begin, colon - begin)));
            BOOST_OUTCOME_TRY(age, decodeNumber(text.substr(std::min(colon + 1, end), end - std::min(colon + 1, end))));
            ages[revision] = Milliseconds(age);
            begin = end + 1;
        }
        return ages;
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

HeaderFields EncodedView::fields(Milliseconds age, const VersionAges& versionAges) const
{
    HeaderFields fields { { ageField, std::to_string(age.count()) } };
    if (isCompressed)
        fields.emplace_back(codingField, deflateCoding);
    std::string ages;
    for (const auto& [revision, versionAge] : versionAges)
        ages += (ages.empty() ? "" : ",") + std::to_string(revision) + ":" + std::to_string(versionAge.count());
    if (!ages.empty())
        fields.emplace_back(versionAgesField, ages);
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

Outcome<ReceivedView> decodeView(const HeaderFields& fields, const std::string& body)
{
    BOOST_OUTCOME_TRY(ageMilliseconds, decodeNumber(std::string(headerValue(fields, ageField))));
    const Milliseconds age(ageMilliseconds);
    BOOST_OUTCOME_TRY(versionAges, decodeVersionAges(std::string(headerValue(fields, versionAgesField))));
    const auto coding = headerValue(fields, codingField);
    if (!coding.empty() && coding != deflateCoding)
        return failure(ErrorCode::InvalidInput, "malformed view: content coding \"" + std::string(coding) + "\"");
    if (coding.empty()) {
        BOOST_OUTCOME_TRY(update, decodeUpdate(body));
        return ReceivedView { std::move(update), age, std::move(versionAges) };
    }
    BOOST_OUTCOME_TRY(bytes, decompress(body, maxViewBytes));
    BOOST_OUTCOME_TRY(update, decodeUpdate(bytes));
    return ReceivedView { std::move(update), age, std::move(versionAges) };
}

std::shared_ptr<const EncodedView> EncodedViewCache::updateSince(const StoreView& view, const StorePosition& known)
{
    const auto cached = m_byPosition.find(known);
    if (cached != m_byPosition.end())
        return cached->second;
    const auto encoded = std::make_shared<const EncodedView>(encodeView(view.updateSince(known)));
    if (m_byPosition.size() < maxCachedEncodings)
        m_byPosition.emplace(known, encoded);
    return encoded;
}

}
