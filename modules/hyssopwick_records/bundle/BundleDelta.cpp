#include "BundleDelta.h"

#include "../model/RecordCodec.h"

#include <nlohmann/json.hpp>

namespace hyssopwick {

nlohmann::json makeBundleDelta(const Bundle& from, const Bundle& to)
{
    auto changed = nlohmann::json::array();
    auto removed = nlohmann::json::array();
    for (const auto& [key, record] : to.records()) {
        const auto before = from.records().find(key);
        if (before == from.records().end() || before->second != record)
            changed.push_back(recordToJson(record));
    }
    for (const auto& [key, record] : from.records()) {
        if (to.records().count(key) == 0)
            removed.push_back(key);
    }
    return { { "changed", changed }, { "removed", removed }, { "digest", to.digest().hex() } };
}

Outcome<Bundle> applyBundleDelta(const Bundle& from, const nlohmann::json& delta)
{
    if (!delta.is_object() || !delta.contains("changed") || !delta.contains("removed") || !delta.contains("digest"))
        return failure(ErrorCode::InvalidInput, "delta lacks changed, removed or digest");
    auto records = from.records();
    for (const auto& key : delta["removed"]) {
        if (!key.is_string())
            return failure(ErrorCode::InvalidInput, "delta removes a key that is not a string");
        records.erase(key.get<std::string>());
    }
    for (const auto& item : delta["changed"]) {
        auto record = recordFromJson(item);
        if (!record)
            return boost::outcome_v2::failure(record.error());
        records.insert_or_assign(recordKey(record.value()), record.value());
    }
    std::vector<Record> list;
    for (auto& [key, record] : records)
        list.push_back(std::move(record));
    Bundle bundle(list);
    if (bundle.digest().hex() != delta["digest"])
        return failure(ErrorCode::Corrupt, "delta leads to digest " + bundle.digest().shortHex() + ", not the stated one");
    return bundle;
}

}
