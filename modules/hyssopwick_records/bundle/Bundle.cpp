#include "Bundle.h"

#include "../model/RecordCodec.h"

#include <nlohmann/json.hpp>

namespace hyssopwick {

namespace {

    template <typename T>
    const T* find(const std::map<std::string, Record>& records, const std::string& key)
    {
        const auto found = records.find(key);
        return found == records.end() ? nullptr : std::get_if<T>(&found->second);
    }

    std::string describeChange(const Record& from, const Record& to)
    {
        const auto before = recordToJson(from);
        const auto after = recordToJson(to);
        std::string text;
        for (const auto& [key, value] : after.items()) {
            if (before.contains(key) && before[key] == value)
                continue;
            text += (text.empty() ? "" : ", ") + key + " " + (before.contains(key) ? before[key].dump() : "nothing") + " -> " + value.dump();
        }
        return text;
    }

}

Bundle::Bundle() { serialise(); }

Bundle::Bundle(const std::vector<Record>& records)
{
    for (const auto& record : records)
        m_records.insert_or_assign(recordKey(record), record);
    serialise();
}

void Bundle::serialise()
{
    auto list = nlohmann::json::array();
    for (const auto& [key, record] : m_records)
        list.push_back(recordToJson(record));
    m_text = nlohmann::json { { "schema", newestRecordSchema }, { "records", list } }.dump();
    m_digest = Digest::of(m_text);
}

Outcome<Bundle> Bundle::parse(const std::string& text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("records") || !json["records"].is_array())
        return failure(ErrorCode::InvalidInput, "bundle is not a JSON object with records");
    const auto schema = json.value("schema", std::int64_t { 0 });
    if (schema < 1 || schema > newestRecordSchema)
        return failure(ErrorCode::InvalidInput, "bundle has schema " + std::to_string(schema) + "; this program knows up to " + std::to_string(newestRecordSchema));
    std::vector<Record> records;
    for (const auto& item : json["records"]) {
        auto record = recordFromJson(item);
        if (!record)
            return boost::outcome_v2::failure(record.error());
        records.push_back(std::move(record.value()));
    }
    return Bundle(records);
}

const PlacementRecord* Bundle::placement(const std::string& name) const { return find<PlacementRecord>(m_records, "placement/" + name); }

const ServiceRecord* Bundle::service(const std::string& name) const { return find<ServiceRecord>(m_records, "service/" + name); }

const AccountRecord* Bundle::account(const std::string& name) const { return find<AccountRecord>(m_records, "account/" + name); }

bool Bundle::isLeaving(const std::string& vm) const
{
    const auto* record = find<VmStateRecord>(m_records, "vm-state/" + vm);
    return record && record->isLeaving;
}

Findings Bundle::crossCheck() const
{
    Findings findings;
    for (const auto& record : all<PlacementRecord>()) {
        if (record.base.empty())
            continue;
        const auto* base = placement(record.base);
        if (!base)
            findings.push_back({ "placement/" + record.name, 1, 1, "base \"" + record.base + "\" has no placement" });
        else if (!base->base.empty())
            findings.push_back({ "placement/" + record.name, 1, 1, "base \"" + record.base + "\" is itself an adapter" });
        else if (base->workerKind != record.workerKind)
            findings.push_back({ "placement/" + record.name, 1, 1, "base \"" + record.base + "\" is placed on worker kind \"" + base->workerKind + "\", not \"" + record.workerKind + "\"" });
    }
    return findings;
}

std::vector<std::string> describeDifference(const Bundle& from, const Bundle& to)
{
    std::vector<std::string> lines;
    for (const auto& [key, record] : to.records()) {
        const auto before = from.records().find(key);
        if (before == from.records().end())
            lines.push_back("+ " + key);
        else if (before->second != record)
            lines.push_back("~ " + key + ": " + describeChange(before->second, record));
    }
    for (const auto& [key, record] : from.records()) {
        if (to.records().count(key) == 0)
            lines.push_back("- " + key);
    }
    return lines;
}

}
