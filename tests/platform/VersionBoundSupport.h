#pragma once

#include "../TestSupport.h"
#include "SlowEngine.h"
#include "ViewSupport.h"

#include <hyssopwick_gateway.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace hyssopwick {

inline const std::string streamWithOneEvent = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Seal: s1\r\nTransfer-Encoding: chunked\r\n\r\n"
                                              "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n";

inline const std::string versionKey = "op/version/m";
inline const std::string secondVersion = R"({"model":"m","version":2})";

// Returns a store's answer that holds version 2, or no record.
inline std::string storeAnswer(const char* listName, std::uint64_t revision, bool hasVersion, int era = 0)
{
    auto items = nlohmann::json::array();
    if (hasVersion)
        items.push_back({ { "key", versionKey }, { "value", base64(secondVersion) }, { "revision", revision } });
    const auto answer = httpAnswer(nlohmann::json { { "at", revision }, { "hasMore", false }, { listName, items } }.dump());
    const auto headersAt = answer.find("\r\n") + 2;
    return answer.substr(0, headersAt) + "Store-Era: " + std::to_string(era) + "\r\n" + answer.substr(headersAt);
}

// Returns a peer's answer. \param ages  of the versions \param estimatedAges  of further versions
inline std::string peerAnswer(const ViewUpdate& update, const VersionAges& ages = {}, const ViewTimes& times = {}, const VersionAges& estimatedAges = {})
{
    const auto encoded = encodeView(update);
    std::string head = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(encoded.body.size()) + "\r\n";
    for (const auto& [name, value] : encoded.fields(times, ages, estimatedAges))
        head.append(name).append(": ").append(value).append("\r\n");
    return head + "\r\n" + encoded.body;
}

// Returns a peer's answer with version 2, which was published \p age ago.
inline std::string peerAnswerWithVersion(Milliseconds age)
{
    return peerAnswer({ 8, false, { { versionKey, secondVersion, 8, false } } }, { { { "m", 2 }, age } });
}

inline Milliseconds since(TimePoint start) { return Milliseconds(millisecondsBetween(start, monotonicNow())); }

// Runs no handler for a time, as in a process that was suspended or has no processor.
inline void suspend(Milliseconds time) { usleep(static_cast<useconds_t>(std::chrono::microseconds(time).count())); }

/// The services of an entry VM, two engines and one call.
class VersionBoundGroup : public Utest {
protected:
    EventLoop loop { 1 };
    EventLog log { "test", [](const std::string&) {} };
    MetricsRegistry metrics;
    GatewayContext context { loop, {}, platform::platformPorts(), log, metrics, 1 };
    EntryServices services { context };
    ScriptedUpstream older { loop };
    ScriptedUpstream newer { loop };
    std::shared_ptr<RecordedExchange> exchange;
    std::shared_ptr<CallFlow> flow;
    std::string callerTimeout = "8000"; // in milliseconds

    void setup() override
    {
        context.description.node = "entry";
        context.description.region = "north";
        DeploymentConfiguration configuration;
        configuration.version = 1;
        ServiceDescription service;
        service.name = "models";
        service.engine = EngineSpeed {};
        configuration.services["models"] = service;
        CallRoute route;
        route.name = "route";
        route.host = "a.example";
        route.pathPrefix = "/x/";
        route.kind = CallKind::Stream;
        route.isResumable = true;
        route.maxUpstreams = 2;
        route.latencyObjective = Milliseconds(8000);
        route.answerTimeout = Milliseconds(8000);
        route.targets = { { "models", 1 } };
        configuration.routes = { route };
        services.setConfiguration(configuration);
        services.refresh();
    }

    template <typename Engine>
    void addEngine(const std::string& id, const Engine& upstream, std::uint64_t version)
    {
        Upstream engine;
        engine.id = id;
        engine.service = "models";
        engine.address = upstream.address();
        engine.loadedVersions["m"] = version;
        services.setUpstream(engine);
        services.refresh();
    }

    void send(const std::string& body = "")
    {
        ServerRequest request;
        request.method = "POST";
        request.target = "/x/";
        request.host = "a.example";
        request.fields = { { "Request-Id", "r1" }, { "Deadline-Ms", callerTimeout } };
        request.body = body;
        request.receivedAt = monotonicNow();
        exchange = std::make_shared<RecordedExchange>(std::move(request));
        flow = std::make_shared<CallFlow>(
            services, exchange, [this](const std::string&) { asio::post(loop, [this] { advance(); }); }, [](CallFlow*) {});
        flow->start();
    }

    void advance()
    {
        for (const auto& decision : services.queue("models").advance(monotonicNow()).sent)
            flow->sendTo(decision);
    }

    // Starts a view that tells the services of versions.
    void start(ViewProcess& process)
    {
        ViewReplicator::Observer observer;
        observer.onVersion = [this](const WeightsVersion& version, TimePoint earliestPublication) {
            services.addVersion(version, earliestPublication);
        };
        process.replicator.start(std::move(observer));
    }

    void runUntil(const std::function<bool()>& isDone)
    {
        // The upper bound only ends a failing test.
        for (const auto deadline = monotonicNow() + Milliseconds(20000); !isDone() && monotonicNow() < deadline;)
            loop.run_one_for(Milliseconds(5));
        CHECK(isDone());
    }

    // Returns until when calls may begin at the engine i-1.
    std::optional<TimePoint> usableUntil() const { return services.usableUntil(*services.upstream("i-1")); }

    // Returns for how many milliseconds after its bound they may, with a newer version published at \p publishedAt.
    std::int64_t lateBy(TimePoint publishedAt) const { return std::max<std::int64_t>(0, millisecondsBetween(publishedAt + context.description.versionBound, *usableUntil())); }
};

}
