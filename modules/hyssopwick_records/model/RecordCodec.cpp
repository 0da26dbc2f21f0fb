#include "RecordCodec.h"

#include "../toml/TableReader.h"

#include <nlohmann/json.hpp>

namespace hyssopwick {

namespace {

    constexpr std::int64_t maxReplicas = 100'000;
    constexpr std::int64_t maxWeight = 1000;
    constexpr std::int64_t maxPriority = 9;
    constexpr std::int64_t maxRequestsPerSecond = 1'000'000;

    RolloutObjective objectiveFromText(const std::string& text) { return text == "origin-bytes" ? RolloutObjective::OriginBytes : RolloutObjective::Time; }

    const char* objectiveText(RolloutObjective objective) { return objective == RolloutObjective::OriginBytes ? "origin-bytes" : "time"; }

    // Schema 1 names the weights in one key, "model = name@version". It has no min_serving
    // (replicas are replaced one at a time) and no objective (always time).
    PlacementRecord readPlacementSchema1(TableReader& table)
    {
        PlacementRecord record;
        const auto model = table.text("model");
        const auto at = model.find('@');
        if (at == std::string::npos || at == 0 || at + 1 == model.size())
            table.report("model", "key \"model\" must be \"name@version\"");
        else {
            record.name = model.substr(0, at);
            record.version = model.substr(at + 1);
        }
        record.manifest = table.digest("manifest");
        record.workerKind = table.text("worker_kind", "model");
        record.replicas = table.number("replicas", 1, maxReplicas);
        record.minServing = record.replicas - 1;
        return record;
    }

    PlacementRecord readPlacement(TableReader& table)
    {
        PlacementRecord record;
        record.name = table.text("name");
        record.version = table.text("version");
        record.manifest = table.digest("manifest");
        if (table.has("base"))
            record.base = table.text("base");
        record.workerKind = table.text("worker_kind", "model");
        record.replicas = table.number("replicas", 1, maxReplicas);
        record.minServing = table.number("min_serving", 0, maxReplicas, 0);
        if (record.minServing >= record.replicas)
            table.report("min_serving", "key \"min_serving\" must be less than \"replicas\", otherwise no replica can be replaced");
        if (!record.base.empty() && record.base == record.name)
            table.report("base", "an adapter cannot be its own base");
        record.objective = objectiveFromText(table.choice("objective", { "time", "origin-bytes" }, "time"));
        return record;
    }

    ServiceRecord readService(TableReader& table)
    {
        ServiceRecord record;
        record.name = table.text("name");
        record.workerKind = table.text("worker_kind");
        record.isModel = table.choice("type", { "plain", "model" }) == "model";
        record.checksFencingToken = table.flag("checks_fencing", false);
        record.idempotentMethods = table.texts("idempotent_methods");
        record.nonIdempotentMethods = table.texts("non_idempotent_methods");
        for (const auto& method : record.nonIdempotentMethods) {
            if (std::find(record.idempotentMethods.begin(), record.idempotentMethods.end(), method) != record.idempotentMethods.end())
                table.report("non_idempotent_methods", "method \"" + method + "\" is listed as idempotent and as not idempotent");
        }
        return record;
    }

    AccountRecord readAccount(TableReader& table)
    {
        AccountRecord record;
        record.name = table.text("name");
        record.credential = table.digest("credential_sha256");
        record.weight = table.number("weight", 1, maxWeight, 1);
        record.priority = table.number("priority", 0, maxPriority, 5);
        record.requestsPerSecond = table.number("requests_per_second", 0, maxRequestsPerSecond, 0);
        return record;
    }

    VmStateRecord readVmState(TableReader& table)
    {
        VmStateRecord record;
        record.name = table.text("name");
        record.isLeaving = table.choice("state", { "serving", "leaving" }) == "leaving";
        return record;
    }

    RoleRecord readRole(TableReader& table)
    {
        RoleRecord record;
        record.name = table.text("name");
        record.role = table.choice("role", { "mixed", "prompt", "generation" });
        return record;
    }

    Record readRecord(TableReader& table, const std::string& kind, std::int64_t schema)
    {
        if (kind == "placement")
            return schema == 1 ? readPlacementSchema1(table) : readPlacement(table);
        if (kind == "service")
            return readService(table);
        if (kind == "account")
            return readAccount(table);
        if (kind == "role")
            return readRole(table);
        return readVmState(table);
    }

    struct JsonVisitor {
        nlohmann::json operator()(const PlacementRecord& record) const
        {
            return { { "kind", "placement" }, { "name", record.name }, { "version", record.version }, { "manifest", record.manifest.hex() },
                { "base", record.base }, { "worker_kind", record.workerKind }, { "replicas", record.replicas },
                { "min_serving", record.minServing }, { "objective", objectiveText(record.objective) } };
        }

        nlohmann::json operator()(const ServiceRecord& record) const
        {
            return { { "kind", "service" }, { "name", record.name }, { "worker_kind", record.workerKind }, { "model", record.isModel },
                { "checks_fencing", record.checksFencingToken }, { "idempotent_methods", record.idempotentMethods },
                { "non_idempotent_methods", record.nonIdempotentMethods } };
        }

        nlohmann::json operator()(const AccountRecord& record) const
        {
            return { { "kind", "account" }, { "name", record.name }, { "credential_sha256", record.credential.hex() },
                { "weight", record.weight }, { "priority", record.priority }, { "requests_per_second", record.requestsPerSecond } };
        }

        nlohmann::json operator()(const VmStateRecord& record) const
        {
            return { { "kind", "vm-state" }, { "name", record.name }, { "leaving", record.isLeaving } };
        }

        nlohmann::json operator()(const RoleRecord& record) const
        {
            return { { "kind", "role" }, { "name", record.name }, { "role", record.role } };
        }
    };

    Record decode(const nlohmann::json& json)
    {
        const auto kind = json.at("kind").get<std::string>();
        const auto name = json.at("name").get<std::string>();
        if (kind == "placement") {
            PlacementRecord record;
            record.name = name;
            record.version = json.at("version").get<std::string>();
            record.manifest = Digest::fromHex(json.at("manifest").get<std::string>());
            record.base = json.at("base").get<std::string>();
            record.workerKind = json.at("worker_kind").get<std::string>();
            record.replicas = json.at("replicas").get<std::int64_t>();
            record.minServing = json.at("min_serving").get<std::int64_t>();
            record.objective = objectiveFromText(json.at("objective").get<std::string>());
            return record;
        }
        if (kind == "service") {
            return ServiceRecord { name, json.at("worker_kind").get<std::string>(), json.at("model").get<bool>(),
                json.at("checks_fencing").get<bool>(), json.at("idempotent_methods").get<std::vector<std::string>>(),
                json.at("non_idempotent_methods").get<std::vector<std::string>>() };
        }
        if (kind == "account") {
            return AccountRecord { name, Digest::fromHex(json.at("credential_sha256").get<std::string>()), json.at("weight").get<std::int64_t>(),
                json.at("priority").get<std::int64_t>(), json.at("requests_per_second").get<std::int64_t>() };
        }
        if (kind == "vm-state")
            return VmStateRecord { name, json.at("leaving").get<bool>() };
        if (kind == "role")
            return RoleRecord { name, json.at("role").get<std::string>() };
        throw std::invalid_argument("record kind \"" + kind + "\" is not known");
    }

}

std::optional<Record> parseRecord(const std::string& text, const std::string& file, Findings& findings)
{
    const auto findingsBefore = findings.size();
    TableReader table(text, file, findings);
    const auto schema = table.number("schema", 1, newestRecordSchema);
    const auto kind = table.choice("kind", { "placement", "service", "account", "vm-state", "role" });
    if (findings.size() != findingsBefore)
        return std::nullopt;
    auto record = readRecord(table, kind, schema);
    table.reportUnknownKeys();
    if (findings.size() != findingsBefore)
        return std::nullopt;
    return record;
}

nlohmann::json recordToJson(const Record& record) { return std::visit(JsonVisitor(), record); }

Outcome<Record> recordFromJson(const nlohmann::json& json)
{
    try {
        return decode(json);
    } catch (const std::exception& exception) {
        return failure(ErrorCode::InvalidInput, std::string("malformed record: ") + exception.what());
    }
}

}
