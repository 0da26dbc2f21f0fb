#pragma once

#include "CallFlowSupport.h"
#include "PlainServiceSupport.h"

namespace hyssopwick {

/// Plain upstreams: i-1 in north-a, i-2 in south-a; both failure domains are regions of their own.
struct RegionalUpstreamsGroup : public CallFlowGroup {
    void restrict(const std::vector<std::string>& regions, const std::vector<std::string>& accountRegions = {})
    {
        route(CallKind::Idempotent, 2, false);
        configuration.routes.front().allowedRegions = RegionSet::listed(regions);
        configuration.accounts.front().allowedRegions = RegionSet::listed(accountRegions);
        services.setConfiguration(configuration);
        auto south = *services.upstream("i-2");
        south.failureDomain = "south-a";
        services.setUpstream(south);
        services.refresh();
    }

    void checkRefused(const char* reason)
    {
        CHECK(exchange->hasEnded); // at once
        LONGS_EQUAL(503, exchange->status);
        STRCMP_EQUAL(reason, exchange->body.c_str());
        CHECK(!headerValue(exchange->fields, "Retry-After").empty());
    }

    void setEvacuated(const std::string& failureDomain, bool isEvacuated = true)
    {
        services.setEvacuated({ failureDomain }, isEvacuated);
        services.refresh();
        if (flow)
            flow->reconsider();
    }
};

/// Engines of the service "models": e-1 in north, e-2 in south, which has no weights at first.
struct RegionalEnginesGroup : public RegionalUpstreamsGroup {
    void setup() override
    {
        CallFlowGroup::setup();
        ServiceDescription service;
        service.name = "models";
        service.engine = EngineSpeed {};
        configuration.services["models"] = service;
        route(CallKind::Stream, 2, true);
        configuration.routes.front().targets = { { "models", 1 } };
        configuration.routes.front().latencyObjective = Milliseconds(8000);
        configuration.routes.front().answerTimeout = Milliseconds(8000);
        allow({ "south" });
        setEngine("e-1", "north", first.address(), 1);
        setEngine("e-2", "south", second.address(), 0);
    }

    void allow(const std::vector<std::string>& regions)
    {
        ++configuration.version;
        configuration.routes.front().allowedRegions = RegionSet::listed(regions);
        services.setConfiguration(configuration);
        services.refresh();
        if (flow)
            flow->reconsider();
    }

    void setEngine(const std::string& id, const std::string& region, const std::string& address, std::uint64_t version)
    {
        Upstream engine;
        engine.id = id;
        engine.service = "models";
        engine.address = address;
        engine.failureDomain = region;
        if (version > 0)
            engine.loadedVersions["m"] = version;
        services.setUpstream(engine);
        services.refresh();
    }

    // Sends the calls that the queue decides to send.
    void advance()
    {
        for (const auto& decision : services.queue("models").advance(monotonicNow()).sent)
            flow->sendTo(decision);
    }

    void runUntilSentTo(ScriptedUpstream& upstream)
    {
        for (const auto deadline = monotonicNow() + Milliseconds(5000); upstream.requests().empty() && monotonicNow() < deadline;)
            loop.run_one_for(Milliseconds(5));
        LONGS_EQUAL(1, upstream.requests().size());
    }

    // Breaks the stream of a call at e-1 after one event. \param beforeBreak  called when it was sent
    void breakStream(const std::function<void()>& beforeBreak)
    {
        first.answer("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Seal: s1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("id: 1\ndata: a\n\n"), true);
        send();
        advance();
        beforeBreak();
        while (!exchange->isStream)
            loop.run_one();
        for (const auto deadline = monotonicNow() + Milliseconds(300); monotonicNow() < deadline;) {
            loop.run_one_for(Milliseconds(5));
            if (!exchange->hasEnded)
                advance();
        }
        LONGS_EQUAL(1, first.requests().size());
    }
};

/// Entries in north, with a plain upstream in north-a and one in south-a.
struct RegionalFleetGroup : public Utest {
    EventLoop loop { 1 };
    Fleet fleet { loop, 3, 1, "none" };
    CrashingUpstream near { loop, "/none" };
    CrashingUpstream far { loop, "/none" };
    unsigned calls = 0;

    void configure(int version, const std::string& regions)
    {
        const auto registration = [](const CrashingUpstream& upstream, const std::string& zone) { return Fleet::base64(R"({"service":"d","address":")" + upstream.address() + R"(","zone":")" + zone + R"(","slots":6,"state":"ready"})"); };
        fleet.store().set("servers/d-1", registration(near, "north-a"));
        fleet.store().set("servers/d-2", registration(far, "south-a"));
        fleet.store().set("op/config", Fleet::base64(R"({"version":)" + std::to_string(version) + R"(,"routes":[{"name":"q","host":"a.example","prefix":"/q/","kind":"safe","timeoutMs":6000,"goalMs":2000,"service":"d","attempts":2,"allowedRegions":[)" + regions + R"(]}],"services":[{"name":"d"}]})"));
    }

    WholeResponse call(std::size_t entry)
    {
        return fleet.send(entry, { "GET", "/q/a", { { "Host", "a.example" }, { "Request-Id", "r" + std::to_string(++calls) }, { "Deadline-Ms", "3000" } }, "" });
    }

    // Calls each entry until one answer is as expected, then five times.
    void checkEachEntry(const std::function<bool(const WholeResponse&)>& isExpected)
    {
        for (std::size_t entry = 0; entry < fleet.size(); ++entry) {
            fleet.runUntil([&] { return isExpected(call(entry)); });
            for (int i = 0; i < 5; ++i)
                CHECK(isExpected(call(entry)));
        }
    }
};

}
