#include "TestSupport.h"

#include <hyssopwick_fakes.h>
#include <hyssopwick_node.h>
#include <hyssopwick_operator.h>
#include <thread>

using namespace hyssopwick;

namespace {

// Below the ephemeral range, so that the system does not assign it to other sockets.
constexpr const char* nodePort = ":21751";
constexpr Milliseconds timeout { 20'000 };
// Within it an accepted configuration is in force everywhere.
constexpr Milliseconds configurationBound { 8000 };

}

TEST_GROUP(EntryConfiguration)
{
    FakeKeyValue keyValue { loopbackIp(216) + nodePort };
    std::unique_ptr<EntryNode> entry;
    HttpClient client;
    const std::string address = loopbackIp(215) + nodePort;

    void setup() override
    {
        CHECK(keyValue.start().has_value());
        KeyValueClient store(client, keyValue.address(), "operator");
        CHECK(Applier(store, "test", "1").apply(bundleWith("secret"), std::nullopt).verdict == ApplyVerdict::Accepted);
        ProcessSettings settings;
        settings.vm = { "entry-1", address, "region-0", "region-0-0", "entry" };
        settings.listen = address;
        settings.keyValueAddress = settings.vmListAddress = keyValue.address();
        settings.peerKeyId = "k";
        settings.peerKey = "test-peer-key-0001";
        settings.keyValueCallsPerSecond = 40;
        settings.workerThreads = 3;
        entry = std::make_unique<EntryNode>(settings, [](const std::string&) {});
        CHECK(entry->start().has_value());
        awaitReason("archive", "secret", "unknown-service");
    }

    void teardown() override
    {
        entry.reset();
        client.stop();
        keyValue.stop();
    }

    static Bundle bundleWith(const std::string& secret)
    {
        return Bundle({ AccountRecord { "caller", Digest::of(secret), 1, 5, 0 }, ServiceRecord { "permit", "permit", false, false, { "status" }, { "book" } } });
    }

    // Accepts a configuration whose bundle reads as another text at first. Returns whether it is active within its bound.
    bool isActiveInTime(const std::string& readAs)
    {
        const auto bundle = bundleWith("second");
        KeyValueClient store(client, keyValue.address(), "operator");
        const auto key = bundlePartKey(bundle.digest(), 0);
        const auto spoilt = store.swap(key, 0, readAs, Milliseconds(0));
        CHECK(spoilt && spoilt.value().isSwapped);
        const auto until = monotonicNow() + configurationBound;
        CHECK(Applier(store, "test", "2").apply(bundle, std::nullopt).verdict == ApplyVerdict::Accepted);
        awaitReason("permit", "second", "not-ready");
        CHECK(store.swap(key, spoilt.value().revision, bundle.text(), Milliseconds(0)).value().isSwapped);
        while (monotonicNow() < until && reasonFor("archive", "second") != "unknown-service")
            std::this_thread::sleep_for(Milliseconds(50));
        return monotonicNow() < until;
    }

    // Calls a service and returns why the call was refused.
    std::string reasonFor(const std::string& service, const std::string& secret)
    {
        HttpClientRequest request;
        request.method = "POST";
        request.url = "http://" + address + "/v1/services/" + service + "/status";
        request.body = std::make_shared<const std::string>("{}");
        request.deadline = monotonicNow() + timeout;
        request.headers = { { "X-Account", "caller" }, { "Authorization", "Bearer " + secret } };
        const auto answer = client.send(std::move(request));
        return answer ? nlohmann::json::parse(answer.value().body, nullptr, false).value("error", nlohmann::json::object()).value("reason", "") : "";
    }

    void awaitReason(const std::string& service, const std::string& secret, const std::string& reason)
    {
        for (const auto until = monotonicNow() + timeout; reasonFor(service, secret) != reason && monotonicNow() < until;)
            std::this_thread::sleep_for(Milliseconds(50));
        STRCMP_EQUAL(reason.c_str(), reasonFor(service, secret).c_str());
    }
};

TEST(EntryConfiguration, ARequestThatANewerConfigurationMayAllowIsNotRefusedForGood)
{
    STRCMP_EQUAL("unauthenticated", reasonFor("permit", "other").c_str());
    keyValue.setFault("outage", 1);
    std::this_thread::sleep_for(configurationBound);
    STRCMP_EQUAL("configuration-outdated", reasonFor("archive", "secret").c_str());
    STRCMP_EQUAL("configuration-outdated", reasonFor("permit", "other").c_str());
    keyValue.setFault("outage", 0);
    awaitReason("archive", "secret", "unknown-service");
    STRCMP_EQUAL("unauthenticated", reasonFor("permit", "other").c_str());
}

// Guards against an entry that refuses all requests until the next configuration, since one read of the newest was spoilt.
TEST(EntryConfiguration, ABundleThatCouldNotBeParsedIsReadAgain)
{
    CHECK(isActiveInTime("no records"));
}

TEST(EntryConfiguration, ABundleWithAnotherDigestIsReadAgain)
{
    CHECK(isActiveInTime(bundleWith("third").text()));
}
