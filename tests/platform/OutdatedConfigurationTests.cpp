#include "FleetSupport.h"

using namespace hyssopwick;

namespace {

std::string configurationWith(unsigned version, const std::string& prefixes, const std::string& keys)
{
    auto routes = nlohmann::json::array();
    for (const auto prefix : prefixes)
        routes.push_back({ { "name", std::string(1, prefix) }, { "host", "a.example" }, { "prefix", std::string("/") + prefix + "/" }, { "kind", "stream" }, { "canResume", true }, { "timeoutMs", 6000 }, { "goalMs", 2000 }, { "service", "s" }, { "attempts", 2 } });
    auto accountKeys = nlohmann::json::array();
    for (const auto key : keys)
        accountKeys.push_back(std::string(1, key));
    return nlohmann::json { { "version", version }, { "routes", routes }, { "services", { { { "name", "s" }, { "engine", { { "slots", 16 }, { "models", { { { "name", "m" } } } } } } } } }, { "tenants", { { { "name", "carrier" }, { "keys", accountKeys } } } } }.dump();
}

}

TEST_GROUP(OutdatedConfiguration)
{
    EventLoop loop { 1 };
    Fleet fleet { loop, 1, 1, "crash" };

    void configure(unsigned version, const std::string& prefixes, const std::string& keys)
    {
        fleet.store().set("op/config", Fleet::base64(configurationWith(version, prefixes, keys)));
    }

    WholeResponse answerTo(const std::string& path, const std::string& key)
    {
        return fleet.send(0, { "POST", path, { { "Host", "a.example" }, { "Request-Id", path + key }, { "Authorization", "Bearer " + key }, { "Deadline-Ms", "6000" }, { "Token-Counts", "500,20" } }, "x" });
    }

    unsigned statusOf(const std::string& path, const std::string& key) { return answerTo(path, key).status; }

    void runFor(Milliseconds time)
    {
        const auto end = monotonicNow() + time;
        fleet.runUntil([end] { return monotonicNow() >= end; });
    }

    // Writes a configuration with a further route and a further key that the entry VM does not hear of.
    void missTheNextConfiguration()
    {
        configure(2, "p", "k");
        fleet.runUntil([this] { return statusOf("/p/a", "k") == 200; });
        fleet.store().setSilent(true);
        configure(3, "pq", "kl");
        runFor(ProcessDescription().configurationBound);
    }
};

TEST(OutdatedConfiguration, ARouteThatMayHaveBeenAddedIsNotRefusedForGood)
{
    missTheNextConfiguration();
    const auto answer = answerTo("/q/a", "k");
    LONGS_EQUAL(503, answer.status);
    CHECK_FALSE(headerValue(answer.fields, "Retry-After").empty());
    fleet.store().setSilent(false);
    fleet.runUntil([this] { return statusOf("/q/a", "k") == 200; });
    LONGS_EQUAL(404, statusOf("/z/a", "k"));
}

TEST(OutdatedConfiguration, AKeyThatMayHaveBeenAddedIsNotRefusedForGood)
{
    missTheNextConfiguration();
    const auto answer = answerTo("/p/a", "l");
    LONGS_EQUAL(503, answer.status);
    CHECK_FALSE(headerValue(answer.fields, "Retry-After").empty());
    fleet.store().setSilent(false);
    fleet.runUntil([this] { return statusOf("/p/a", "l") == 200; });
    LONGS_EQUAL(401, statusOf("/p/a", "z"));
}

TEST(OutdatedConfiguration, CallsThatTheLastConfigurationAllowsAreServedWithoutTheStore)
{
    missTheNextConfiguration();
    LONGS_EQUAL(200, statusOf("/p/a", "k"));
}
