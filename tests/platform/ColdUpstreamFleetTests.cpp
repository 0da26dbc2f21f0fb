#include "PlainServiceSupport.h"

#include <EngineFormat.h>
#include <SettingsFormat.h>
#include <StoreFormat.h>

using namespace hyssopwick;

namespace {

constexpr double coldPerSecond = 4;
constexpr double allowed = coldPerSecond * 1.5 + 5; // the platform's rule for any second

}

/// Entry VMs of the project's own network, with a plain service and engines that may be cold.
TEST_GROUP(ColdUpstreamFleet)
{
    static constexpr std::size_t entryCount = 6;
    EventLoop loop { 1 };
    Fleet fleet { loop, entryCount, 2, "crashing" };
    unsigned number = 0;

    // The upstreams of a plain service, one of them with a new start.
    void writeUpstream(const CrashingUpstream& upstream, const std::string& id, UnixMilliseconds born, int coldLeft)
    {
        fleet.store().set("servers/" + id, Fleet::base64(R"({"service":"d","address":")" + upstream.address() + R"(","zone":"north-a","slots":6,"state":"ready","born":)" + std::to_string(born) + R"(,"coldLeftMs":)" + std::to_string(coldLeft) + "}"));
    }

    void writeConfiguration()
    {
        fleet.store().set("op/config", Fleet::base64(R"({"version":3,"routes":[{"name":"q","host":"a.example","prefix":"/q/","kind":"safe","timeoutMs":6000,"goalMs":2000,"service":"d","attempts":1},{"name":"r","host":"a.example","prefix":"/p/","kind":"stream","canResume":true,"timeoutMs":6000,"goalMs":2000,"service":"s","attempts":2}],"services":[{"name":"d","coldS":8,"coldPerS":4},{"name":"s","coldS":8,"coldPerS":4,"engine":{"slots":16,"models":[{"name":"m"}]}}],"tenants":[{"name":"carrier","keys":["key"]}]})"));
    }

    bool hasCounted(std::size_t entry, const std::string& metric) const { return fleet.metrics(entry).find(metric) != std::string::npos; }

    void waitUntilCold(const std::string& reason)
    {
        fleet.runUntil([&] {
            for (std::size_t entry = 0; entry < entryCount; ++entry) {
                if (!hasCounted(entry, "upstreams_cold_total{reason=\"" + reason + "\"}"))
                    return false;
            }
            return true;
        });
    }

    // Returns the most calls that came within a second.
    static std::size_t mostInASecond(const std::vector<TimePoint>& times)
    {
        std::size_t most = 0;
        for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
            while (times[first] + Milliseconds(1000) <= times[last])
                ++first;
            most = std::max(most, last - first + 1);
        }
        return most;
    }

    // Calls all entries in turn, and checks the rule for the upstreams that count calls. Returns how many they got.
    template <typename Call>
    std::size_t checkRule(const std::vector<const unsigned*>& counters, Call call)
    {
        std::vector<std::vector<TimePoint>> times(counters.size());
        for (const auto until = monotonicNow() + Milliseconds(2600); monotonicNow() < until;) {
            for (std::size_t entry = 0; entry < entryCount; ++entry) {
                std::vector<unsigned> before;
                for (const auto* counter : counters)
                    before.push_back(*counter);
                call(entry);
                for (std::size_t upstream = 0; upstream < counters.size(); ++upstream)
                    times[upstream].resize(times[upstream].size() + *counters[upstream] - before[upstream], monotonicNow());
            }
        }
        std::size_t calls = 0;
        for (const auto& ofUpstream : times) {
            CHECK_COMPARE(double(mostInASecond(ofUpstream)), <=, allowed);
            calls += ofUpstream.size();
        }
        return calls;
    }

    std::size_t checkRuleOfEngines()
    {
        return checkRule({ &fleet.engine(0).answers, &fleet.engine(1).answers }, [this](std::size_t entry) {
            const auto id = std::to_string(++number);
            return fleet.call(entry, "r" + id, "a1:40,c" + id + ":100");
        });
    }
};

// Guards against entries that all send to a plain upstream that has just started.
TEST(ColdUpstreamFleet, EntriesTogetherKeepTheRuleForANewPlainUpstream)
{
    PlainService service { loop, fleet, 1, "safe", 1 };
    CrashingUpstream cold { loop, "none" };
    writeConfiguration();
    writeUpstream(cold, "e-1", 5000, 8000);
    const auto call = [&](std::size_t entry) { return service.call(entry, "/q/sound"); };
    fleet.runUntil([&] {
        for (std::size_t entry = 0; entry < entryCount; ++entry)
            call(entry);
        return hasCounted(0, "upstreams_cold_total");
    });
    CHECK_COMPARE(checkRule({ &cold.requests }, call), >, 0);
    CHECK_COMPARE(service.upstream(0).requests, >, 100); // the other one is warm
}

// Guards against refusals without a time while the only upstream is cold.
TEST(ColdUpstreamFleet, ACallWithoutAPlaceIsRefusedWithTheTimeOfTheNextOne)
{
    PlainService service { loop, fleet, 1, "safe", 1 };
    writeConfiguration();
    fleet.store().set("servers/d-0-0", "");
    writeUpstream(service.upstream(0), "e-1", 5000, 8000);
    std::optional<WholeResponse> refused;
    fleet.runUntil([&] {
        const auto response = service.send(0, "/q/sound");
        if (response.status == 503 && !headerValue(response.fields, "Retry-After").empty())
            refused = response;
        return refused.has_value();
    });
    CHECK_COMPARE(std::stod(std::string(headerValue(refused->fields, "Retry-After"))), <=, 8.1);
}

// Guards against engines of which no entry hears whether they started anew, while calls go on.
TEST(ColdUpstreamFleet, EntriesTogetherKeepTheRuleForEnginesThatTheyDoNotHear)
{
    writeConfiguration();
    waitUntilCold("not-heard");
    CHECK_COMPARE(checkRuleOfEngines(), >, 0);
}

// Guards against a restart that only the agent tells.
TEST(ColdUpstreamFleet, EntriesTogetherKeepTheRuleForEnginesThatRestart)
{
    writeConfiguration();
    waitUntilCold("not-heard");
    fleet.runUntil([this] {
        fleet.call(0, "r" + std::to_string(++number), "crashing:40,c0:100"); // refused while no engine has a place in time
        return fleet.crashes() > 0;
    });
    waitUntilCold("restart");
    CHECK_COMPARE(checkRuleOfEngines(), >, 0);
}

TEST_GROUP(ColdFormat) {};

TEST(ColdFormat, WhatTheWireSaysOfColdUpstreamsIsDecoded)
{
    const platform::StoreFormat store;
    const auto upstream = std::get<Upstream>(store.decodeRecord({ "servers/i-1", R"({"service":"s","address":"10.0.0.1:1","zone":"z","slots":1,"state":"ready","coldLeftMs":1700})", 1, false }));
    CHECK(upstream.coldLeft == Milliseconds(1700));
    const auto other = std::get<Upstream>(store.decodeRecord({ "servers/i-1", R"({"service":"s","address":"10.0.0.1:1","zone":"z","slots":1,"state":"ready"})", 1, false }));
    CHECK_FALSE(other.coldLeft.has_value());
    const auto configuration = std::get<DeploymentConfiguration>(store.decodeRecord({ "op/config", R"({"version":1,"routes":[],"services":[{"name":"s","coldS":3,"coldPerS":14,"healthPath":"/h"},{"name":"t","coldS":0,"coldPerS":14}]})", 1, false }));
    const auto& service = configuration.services.at("s");
    CHECK(service.mayBeCold() && service.coldTime == Milliseconds(3000) && service.healthPath == "/h");
    DOUBLES_EQUAL(14, service.coldCallsPerSecond, 0);
    CHECK_FALSE(configuration.services.at("t").mayBeCold());
    const platform::EngineFormat engine;
    CHECK(engine.decodeColdLeft({ { "Cold-Ms", "1200" } }) == Milliseconds(1200));
    for (const auto* malformed : { "", "x", "-5" })
        CHECK_FALSE(engine.decodeColdLeft({ { "Cold-Ms", malformed } }).has_value());
    const auto settings = platform::decodeSettings("node = \"n\"\nip = \"10.0.0.1\"\nregion = \"r\"\nzone = \"z\"\ninternalPorts = [7700]\n[platform]\naddress = \"a:1\"\n[bounds]\ncoldOvershoot = 2.0\ncoldSlack = 7\n");
    DOUBLES_EQUAL(2, settings.value().coldOvershoot, 0);
    DOUBLES_EQUAL(7, settings.value().coldSlack, 0);
}

// Guards against messages that processes before or after an upgrade cannot read.
TEST(ColdFormat, NoticesAndReportsArriveAndOldReportsAreRead)
{
    const auto now = monotonicNow();
    const ColdNotice notice { now - std::chrono::hours(100), "i-1", now + Milliseconds(2000) };
    const auto encoded = encodePeerMessage(LimitObservation { {}, notice });
    CHECK_COMPARE(encoded.size(), <, 60);
    const auto message = decodePeerMessage(encoded);
    const auto& received = *std::get<LimitObservation>(message.value()).cold;
    STRCMP_EQUAL("i-1", received.upstream.c_str());
    CHECK_COMPARE(std::abs(millisecondsBetween(notice.origin, received.origin)), <=, 1000);
    CHECK_COMPARE(std::abs(millisecondsBetween(notice.coldUntil, received.coldUntil)), <=, 1000);
    EngineUpdate update;
    update.report.coldLeft = Milliseconds(700);
    const auto bytes = encodePeerMessage(update);
    CHECK(std::get<EngineUpdate>(decodePeerMessage(bytes).value()).report.coldLeft == Milliseconds(700));
    auto old = nlohmann::json::from_cbor(bytes);
    constexpr std::size_t oldFields = 17; // before the cold time and the division
    while (old.size() > oldFields)
        old.erase(old.size() - 1);
    std::string oldBytes;
    nlohmann::json::to_cbor(old, oldBytes);
    CHECK(std::get<EngineUpdate>(decodePeerMessage(oldBytes).value()).report.coldLeft == Milliseconds(0));
}

TEST_GROUP(ColdAllowances)
{
    EventLoop loop { 1 };
    std::vector<std::string> lines;
    EventLog log { "test", [this](const std::string& line) { lines.push_back(line); } };
    MetricsRegistry metrics;
    GatewayContext context { loop, ProcessDescription(), platform::platformPorts(), log, metrics, 1 };

    static ServiceDescription coldService()
    {
        ServiceDescription service;
        service.name = "d";
        service.coldTime = Milliseconds(3000);
        service.coldCallsPerSecond = 14;
        service.healthPath = "/h";
        return service;
    }
};

// Guards against a failure domain whose cold upstreams get all calls at once when it comes back.
TEST(ColdAllowances, TheEndOfAnEvacuationMakesTheUpstreamsOfTheDomainCold)
{
    context.description.node = "entry-1";
    UpstreamAllowances allowances(context);
    unsigned changes = 0;
    allowances.onChange([&changes] { ++changes; });
    DeploymentConfiguration configuration;
    configuration.services["d"] = coldService();
    allowances.setConfiguration(configuration);
    for (const std::string domain : { "north-a", "north-b" }) {
        Upstream upstream;
        upstream.id = "i-" + domain;
        upstream.service = "d";
        upstream.failureDomain = domain;
        allowances.recordRegistration(upstream);
    }
    allowances.completeFirstView();
    CHECK(allowances.withoutPlace("d").empty());
    allowances.endEvacuation("north-a");
    LONGS_EQUAL(1, changes);
    CHECK(allowances.withoutPlace("d") == std::set<std::string>({ "i-north-a" }));
    const auto now = monotonicNow();
    CHECK(allowances.availableAt("i-north-a", now) > now);
    CHECK(allowances.availableAt("i-north-b", now) == now);
    CHECK(std::any_of(lines.begin(), lines.end(), [](const std::string& line) { return line.find("reason=evacuation-end") != std::string::npos; }));
}

// Guards against an engine that turns cold without a restart: only its health check tells.
TEST(ColdAllowances, AnAgentsReportSaysHowLongTheEngineIsCold)
{
    HttpListener engine(
        loop, [](const ServerExchangePointer& exchange) {
            const bool isHealthCheck = exchange->request().target == "/h";
            exchange->respond(200, isHealthCheck ? HeaderFields { { "Cold-Ms", "2500" } } : HeaderFields(), R"({"sequence":0,"queued":0,"running":0,"born":1000})"); },
        [] { return CallerLimits(); });
    CHECK(engine.listen("127.0.0.1:0").has_value());
    context.description.engineAddress = "127.0.0.1:" + std::to_string(engine.port());
    EngineClient client(context);
    Milliseconds coldLeft { 0 };
    const auto poll = [&](const std::optional<ServiceDescription>& service) {
        client.fetchReport(service, [&coldLeft](const Outcome<EngineReport>& report) { coldLeft = report ? report.value().coldLeft : Milliseconds(-1); });
        loop.run_for(Milliseconds(50));
    };
    poll(std::nullopt);
    LONGS_EQUAL(0, coldLeft.count());
    for (const auto until = monotonicNow() + Milliseconds(5000); coldLeft.count() <= 0 && monotonicNow() < until;)
        poll(coldService());
    CHECK_COMPARE(coldLeft.count(), >, 0);
    CHECK_COMPARE(coldLeft.count(), <=, 2500);
}
