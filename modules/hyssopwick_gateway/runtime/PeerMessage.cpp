#include "PeerMessage.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace hyssopwick {

namespace {

    using Json = nlohmann::json;

    Json updatesToJson(const std::vector<MemberUpdate>& updates)
    {
        Json json = Json::array();
        for (const auto& update : updates)
            json.push_back(memberUpdateToJson(update));
        return json;
    }

    std::vector<MemberUpdate> updatesFromJson(const Json& json)
    {
        std::vector<MemberUpdate> updates;
        for (const auto& item : json) {
            if (auto update = memberUpdateFromJson(item))
                updates.push_back(std::move(*update));
        }
        return updates;
    }

    Json statusesToJson(const std::vector<EntryStatus>& statuses)
    {
        Json json = Json::array();
        for (const auto& status : statuses)
            json.push_back(entryStatusToJson(status));
        return json;
    }

    // Processes before an upgrade send none. They ignore elements that they do not know.
    std::vector<EntryStatus> statusesFromJson(const Json& json, std::size_t index)
    {
        std::vector<EntryStatus> statuses;
        for (const auto& item : index < json.size() ? json[index] : Json::array()) {
            if (auto status = entryStatusFromJson(item))
                statuses.push_back(std::move(*status));
        }
        return statuses;
    }

    MemberUpdate senderFromJson(const Json& json)
    {
        auto sender = memberUpdateFromJson(json);
        if (!sender)
            throw std::invalid_argument("malformed sender");
        return *sender;
    }

    constexpr double noLimit = -1;
    // A time that is unset, far away, or of a process whose clock runs apart is bounded by this.
    constexpr std::int64_t maxTimeMilliseconds = std::chrono::duration_cast<Milliseconds>(std::chrono::hours(48)).count();
    // An origin is as old as the process that ran longest: only a sanity check, ten years.
    constexpr std::int64_t maxOriginAgeMilliseconds = std::chrono::duration_cast<Milliseconds>(std::chrono::hours(24 * 3650)).count();

    // Units of the division of an engine in messages: integers are shorter than floating-point numbers.
    constexpr double shareUnit = 1e-4;
    constexpr double levelUnit = 1e-3;
    constexpr int notStated = -1;

    // The engine milliseconds per second of each priority, without those after the last one with demand.
    Json demandToJson(const EngineDemand& demand)
    {
        Json json = Json::array();
        std::size_t pending = 0; // priorities without demand since the last one with demand
        for (unsigned priority = 0; priority < EngineDemand::priorities; ++priority) {
            ++pending;
            if (const auto rate = std::llround(demand.of(priority)); rate > 0) {
                for (; pending > 1; --pending)
                    json.push_back(0);
                json.push_back(rate);
                pending = 0;
            }
        }
        return json;
    }

    EngineDemand demandFromJson(const Json& json)
    {
        EngineDemand demand;
        unsigned priority = 0;
        for (const auto& item : json) {
            const auto rate = item.get<double>();
            if (!std::isfinite(rate) || rate < 0 || priority >= EngineDemand::priorities)
                throw std::invalid_argument("malformed demand");
            demand.add(priority++, rate);
        }
        return demand;
    }

    Json statementToJson(const EngineStatement& statement)
    {
        if (!statement.share)
            return Json::array();
        return { std::llround(*statement.share / shareUnit), std::llround(statement.begin / shareUnit), statement.level ? std::llround(statement.level->value() / levelUnit) : notStated };
    }

    EngineStatement statementFromJson(const Json& json)
    {
        if (json.empty())
            return {};
        EngineStatement statement { std::clamp(json.at(0).get<int>() * shareUnit, 0.0, 1.0), std::clamp(json.at(1).get<int>() * shareUnit, 0.0, 1.0), std::nullopt };
        if (const auto level = json.at(2).get<int>(); level >= 0)
            statement.level = AdmissionLevel(level * levelUnit);
        return statement;
    }

    // Each encoder writes an array; its first element is the index of the alternative.
    struct Encoder {
        Json operator()(const PingMessage& message) const
        {
            return { message.sequence, memberUpdateToJson(message.sender), updatesToJson(message.updates), message.target, statusesToJson(message.statuses) };
        }
        Json operator()(const PingAnswer& message) const
        {
            return { message.sequence, memberUpdateToJson(message.sender), updatesToJson(message.updates), statusesToJson(message.statuses) };
        }
        Json operator()(const PingRequest& message) const
        {
            return { message.sequence, memberUpdateToJson(message.sender), message.target };
        }
        Json operator()(const EngineUpdate& message) const
        {
            const auto& report = message.report;
            return { message.upstream, message.engineAddress, message.isAnswering, static_cast<int>(message.availability), report.orderSequence, report.isOrderRunning,
                report.waitingCalls, report.runningCalls, report.usedTokens, report.tokenCapacity, report.slowdownFactor, report.startedAt, Json(report.loadedVersions),
                message.readyIn ? message.readyIn->count() : std::int64_t(-1), std::llround(report.pendingPromptTokens), report.isLeaving, report.coldLeft.count(), statementToJson(message.division) };
        }
        Json operator()(const UpdateSubscription& message) const
        {
            const auto& vm = message.subscriber;
            Json json { vm.id, vm.address, vm.region, vm.failureDomain, vm.kind };
            if (message.demand)
                json.push_back(demandToJson(*message.demand));
            return json;
        }
        Json operator()(const CrashObservation& message) const { return { message.digest, message.upstream, message.promptBlocks, message.sentAgo.count(), message.lostAgo.count() }; }
        Json operator()(const ActivationUpdate& message) const
        {
            return { message.node, message.model, message.wanted, message.loaded, message.isReady, message.isLoading };
        }
        Json operator()(const LeavingObservation& message) const { return { message.upstream, message.startedAt }; }
        Json operator()(const RecheckObservation& message) const { return Json::array({ message.promptBlocks }); }
        Json operator()(const AnswerObservation& message) const { return { message.promptBlocks, message.begunAgo.count() }; }
        Json operator()(const LimitObservation& message) const
        {
            const auto now = monotonicNow();
            const auto& limit = message.limit;
            if (const auto& cold = message.cold) // the first elements are for a process before an upgrade, which learns nothing from them
                return { "", noLimit, 0, maxTimeMilliseconds, cold->upstream, millisecondsBetween(cold->origin, now), millisecondsBetween(now, cold->coldUntil) };
            return { limit.upstream, limit.callsPerSecond.value_or(noLimit), millisecondsBetween(limit.origin, now), millisecondsBetween(limit.namedAt, now) };
        }
        Json operator()(const SuspicionDigest& message) const { return { message.digest, message.isAnswer }; }
        Json operator()(const SuspicionUpdate& message) const
        {
            const auto now = monotonicNow();
            Json suspects = Json::array();
            for (const auto& suspect : message.suspects) {
                Json crashes = Json::array();
                for (const auto& crash : suspect.crashes)
                    crashes.push_back(Json::array({ crash.upstream, millisecondsBetween(crash.sentAt, now), millisecondsBetween(crash.crashedAt, now) }));
                suspects.push_back(Json::array({ suspect.part, std::move(crashes), millisecondsBetween(suspect.lastEvidence, now), suspect.isQuarantined, suspect.rechecks, millisecondsBetween(now, suspect.recheckAt) }));
            }
            return Json::array({ std::move(suspects) });
        }
        Json operator()(const ChunksUpdate& message) const { return { message.node, message.model, message.version, message.held, message.wantsAnswer }; }
    };

    EngineUpdate engineUpdateFromJson(const Json& json)
    {
        EngineUpdate update;
        json.at(1).get_to(update.upstream);
        json.at(2).get_to(update.engineAddress);
        json.at(3).get_to(update.isAnswering);
        const auto availability = json.at(4).get<int>();
        if (availability < 0 || availability > static_cast<int>(EngineAvailability::Draining))
            throw std::invalid_argument("unknown availability");
        update.availability = static_cast<EngineAvailability>(availability);
        auto& report = update.report;
        json.at(5).get_to(report.orderSequence);
        json.at(6).get_to(report.isOrderRunning);
        json.at(7).get_to(report.waitingCalls);
        json.at(8).get_to(report.runningCalls);
        json.at(9).get_to(report.usedTokens);
        json.at(10).get_to(report.tokenCapacity);
        json.at(11).get_to(report.slowdownFactor);
        json.at(12).get_to(report.startedAt);
        json.at(13).get_to(report.loadedVersions);
        if (const auto readyIn = json.at(14).get<std::int64_t>(); readyIn >= 0)
            update.readyIn = Milliseconds(readyIn);
        json.at(15).get_to(report.pendingPromptTokens);
        json.at(16).get_to(report.isLeaving);
        if (json.size() > 17) // not of a process before an upgrade
            report.coldLeft = Milliseconds(std::max<std::int64_t>(0, json.at(17).get<std::int64_t>()));
        if (json.size() > 18)
            update.division = statementFromJson(json.at(18));
        return update;
    }

    Milliseconds agoFromJson(const Json& json) { return Milliseconds(std::max<std::int64_t>(0, json.get<std::int64_t>())); }

    CrashObservation crashObservationFromJson(const Json& json)
    {
        CrashObservation observation { json.at(1).get<std::string>(), json.at(2).get<std::string>(), {}, Milliseconds(0), Milliseconds(0) };
        if (json.size() <= 3) // of a process before an upgrade
            return observation;
        json.at(3).get_to(observation.promptBlocks);
        observation.sentAgo = agoFromJson(json.at(4));
        observation.lostAgo = agoFromJson(json.at(5));
        return observation;
    }

    Milliseconds boundedTime(const Json& json) { return Milliseconds(std::clamp(json.get<std::int64_t>(), -maxTimeMilliseconds, maxTimeMilliseconds)); }

    SuspicionUpdate suspicionUpdateFromJson(const Json& json)
    {
        const auto now = monotonicNow();
        SuspicionUpdate update;
        for (const auto& item : json.at(1)) {
            CrashSuspect suspect;
            item.at(0).get_to(suspect.part);
            for (const auto& crash : item.at(1))
                suspect.crashes.push_back({ crash.at(0).get<std::string>(), now - boundedTime(crash.at(1)), now - boundedTime(crash.at(2)) });
            suspect.lastEvidence = now - boundedTime(item.at(2));
            item.at(3).get_to(suspect.isQuarantined);
            item.at(4).get_to(suspect.rechecks);
            suspect.recheckAt = now + boundedTime(item.at(5));
            update.suspects.push_back(std::move(suspect));
        }
        return update;
    }

    LimitObservation limitObservationFromJson(const Json& json)
    {
        const auto now = monotonicNow();
        if (json.size() > 5) {
            const Milliseconds originAge(std::clamp(json.at(6).get<std::int64_t>(), std::int64_t(0), maxOriginAgeMilliseconds));
            return { {}, ColdNotice { now - originAge, json.at(5).get<std::string>(), now + boundedTime(json.at(7)) } };
        }
        UpstreamLimit limit { json.at(1).get<std::string>(), std::nullopt, now - boundedTime(json.at(3)), now - boundedTime(json.at(4)) };
        const auto callsPerSecond = json.at(2).get<double>();
        if (!std::isfinite(callsPerSecond))
            throw std::invalid_argument("malformed limit");
        if (callsPerSecond >= 0)
            limit.callsPerSecond = callsPerSecond;
        return { limit, std::nullopt };
    }

    PeerMessage messageFromJson(const Json& json)
    {
        switch (json.at(0).get<int>()) {
        case 0:
            return PingMessage { json.at(1).get<std::uint64_t>(), senderFromJson(json.at(2)), updatesFromJson(json.at(3)), json.at(4).get<std::string>(), statusesFromJson(json, 5) };
        case 1:
            return PingAnswer { json.at(1).get<std::uint64_t>(), senderFromJson(json.at(2)), updatesFromJson(json.at(3)), statusesFromJson(json, 4) };
        case 2:
            return PingRequest { json.at(1).get<std::uint64_t>(), senderFromJson(json.at(2)), json.at(3).get<std::string>() };
        case 3:
            return engineUpdateFromJson(json);
        case 4:
            return UpdateSubscription { { json.at(1).get<std::string>(), json.at(2).get<std::string>(), json.at(3).get<std::string>(),
                                            json.at(4).get<std::string>(), json.at(5).get<std::string>() },
                json.size() > 6 ? std::optional<EngineDemand>(demandFromJson(json.at(6))) : std::nullopt };
        case 5:
            return crashObservationFromJson(json);
        case 6:
            return ActivationUpdate { json.at(1).get<std::string>(), json.at(2).get<std::string>(), json.at(3).get<std::uint64_t>(),
                json.at(4).get<std::uint64_t>(), json.at(5).get<bool>(), json.at(6).get<bool>() };
        case 7:
            return ChunksUpdate { json.at(1).get<std::string>(), json.at(2).get<std::string>(), json.at(3).get<std::uint64_t>(),
                json.at(4).get<std::string>(), json.at(5).get<bool>() };
        case 8:
            return LeavingObservation { json.at(1).get<std::string>(), json.at(2).get<UnixMilliseconds>() };
        case 9:
            return RecheckObservation { json.at(1).get<std::vector<std::string>>() };
        case 10:
            return AnswerObservation { json.at(1).get<std::vector<std::string>>(), agoFromJson(json.at(2)) };
        case 11:
            return SuspicionDigest { json.at(1).get<std::uint64_t>(), json.at(2).get<bool>() };
        case 12:
            return suspicionUpdateFromJson(json);
        case 13:
            return limitObservationFromJson(json);
        default:
            throw std::invalid_argument("unknown message type");
        }
    }

}

const char* peerMessageName(std::size_t index)
{
    constexpr const char* names[] = { "ping", "ping_answer", "ping_request", "engine_update", "subscription", "crash_observation", "activation_update", "chunks_update", "leaving_observation", "recheck_observation", "answer_observation", "suspicion_digest", "suspicion_update", "limit_observation" };
    static_assert(std::size(names) == std::variant_size_v<PeerMessage>);
    return names[index];
}

std::string encodePeerMessage(const PeerMessage& message)
{
    auto json = std::visit(Encoder {}, message);
    json.insert(json.begin(), message.index());
    std::string bytes;
    Json::to_cbor(json, bytes);
    return bytes;
}

Outcome<PeerMessage> decodePeerMessage(std::string_view bytes)
{
    try {
        return messageFromJson(Json::from_cbor(bytes.begin(), bytes.end()));
    } catch (const std::exception& problem) {
        return failure(ErrorCode::InvalidInput, std::string("malformed peer message: ") + problem.what());
    }
}

}
