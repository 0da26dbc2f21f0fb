#include "../TestSupport.h"

#include "../../platform/CallFormat.h"
#include "../../platform/EngineFormat.h"
#include "../../platform/SettingsFormat.h"
#include "../../platform/StoreFormat.h"

using namespace hyssopwick;
using namespace hyssopwick::platform;

TEST_GROUP(StoreFormat)
{
    StoreFormat format;

    DecodedRecord decode(const std::string& key, const std::string& value) const { return format.decodeRecord({ key, value, 1, false }); }
};

TEST(StoreFormat, AnUpstreamRecordIsDecoded)
{
    const auto record = decode("servers/i-1", R"({"service":"s","address":"10.0.0.1:80","zone":"north-a","version":"v1","slots":16,"state":"draining","coldLeftMs":0,"stage":"colocated","models":[{"name":"m","version":2,"adapters":[]}],"layers":{"from":0,"target":16,"version":2},"sequence":4,"born":12})");
    const auto& upstream = std::get<Upstream>(record);
    STRCMP_EQUAL("i-1", upstream.id.c_str());
    CHECK(upstream.state == UpstreamState::Draining);
    LONGS_EQUAL(2, upstream.loadedVersions.at("m"));
    LONGS_EQUAL(12, upstream.startedAt);
}

TEST(StoreFormat, AnUpstreamWithoutLayersHasNoLoadedVersions)
{
    const auto record = decode("servers/i-1", R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":16,"state":"ready","models":[{"name":"m","version":2}],"layers":{"from":0,"target":0,"version":2}})");
    LONGS_EQUAL(0, std::get<Upstream>(record).loadedVersions.size());
}

TEST(StoreFormat, MalformedRecordsAreUnreadableAndUnknownKeysIrrelevant)
{
    for (const auto* value : { "", "{", "[]", "null", "\xff\xfe", R"({"service":"s"})", R"({"service":1,"address":"a:1","zone":"z","slots":1,"state":"ready"})",
             R"({"service":"s","address":"a:1","zone":"z","slots":1,"state":"odd"})", R"({"service":"s","address":"a:1","zone":"z","slots":"6","state":"ready"})",
             R"({"service":"s","address":"a:1","zone":"z","slots":1,"state":"ready","born":"x"})" })
        CHECK(std::holds_alternative<UnreadableRecord>(decode("servers/i-1", value)));
    CHECK(std::holds_alternative<IrrelevantRecord>(decode("other/key", "{}")));
    CHECK(std::holds_alternative<UnreadableRecord>(decode("op/config", R"({"routes":[]})")));
}

// Decoding must neither throw nor mistake a damaged record for another kind; fixed seed.
TEST(StoreFormat, DamagedRecordsAreSkipped)
{
    const std::string good = R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/","kind":"stream","timeoutMs":6000,"goalMs":400,"priority":1,"service":"s","attempts":2,"anonymous":false,"sticky":true,"canResume":true,"gapGoalMs":400}],"services":[{"name":"s","engine":{"slots":16,"models":[{"name":"m","warmS":0.3}],"usual":{"prompt":977,"answer":94}}},{"name":"o","origin":"1.2.3.4:5","zone":"z","linkMbps":15.0}],"limits":{"headerBytes":16384},"tenants":[{"name":"t","keys":["k"],"priority":1}]})";
    CHECK(std::holds_alternative<DeploymentConfiguration>(decode("op/config", good)));
    RandomSource random(5);
    for (int round = 0; round < 3000; ++round) {
        auto damaged = good;
        for (std::uint64_t i = random.below(4); i > 0; --i)
            damaged[random.below(damaged.size())] = static_cast<char>(random.below(256));
        damaged.resize(damaged.size() - random.below(round % 2 == 0 ? 1 : damaged.size()));
        const auto record = decode("op/config", damaged);
        CHECK(std::holds_alternative<DeploymentConfiguration>(record) || std::holds_alternative<UnreadableRecord>(record));
    }
}

TEST(StoreFormat, PagesAndChangesAreDecoded)
{
    const auto page = format.decodeRead(R"({"items":[{"key":"a","value":"bm9kZS0x","revision":4,"created":4,"lease":0}],"hasMore":true,"at":9})");
    STRCMP_EQUAL("node-1", page.value().records[0].value.c_str());
    CHECK(page.value().hasMore);
    const auto changes = format.decodeWatch(R"({"events":[{"key":"a","revision":5,"deleted":true}],"at":10})");
    CHECK(changes.value().records[0].isDeleted);
    LONGS_EQUAL(10, changes.value().revision);
    CHECK_FALSE(format.decodeRead(R"({"items":[{"key":"a","value":"?","revision":4}],"at":9})").has_value());
    CHECK(format.isHistoryGone(410));
}

TEST_GROUP(SettingsFormat) {};

TEST(SettingsFormat, AllFindingsAreReportedTogether)
{
    const auto settings = decodeSettings("node = \"n\"\nip = 5\n");
    CHECK_FALSE(settings.has_value());
    for (const auto* name : { "ip", "region", "zone", "platform.address", "internalPorts" })
        CHECK(settings.error().message.find(name) != std::string::npos);
}

TEST(SettingsFormat, UnknownFieldsAreIgnoredAndMissingOnesGetTheirDefaults)
{
    const auto settings = decodeSettings("node = \"n\"\nip = \"10.0.0.1\"\nregion = \"r\"\nzone = \"z\"\nnew = true\ninternalPorts = [7700, 7715]\nseeds = [\"10.0.0.9:8000\"]\n[platform]\naddress = \"10.0.0.2:80\"\n[bounds]\ngraceS = 8\nversion_ms = 7000\n[limits]\nlinkMbps = 8.0\n");
    CHECK(settings.has_value());
    CHECK(settings.value().stopBound == Milliseconds(8000));
    CHECK(settings.value().versionBound == Milliseconds(7000));
    CHECK(settings.value().drainBound == Milliseconds(2000));
    STRCMP_EQUAL("10.0.0.9", settings.value().seedIps[0].c_str());
    DOUBLES_EQUAL(1e6, settings.value().linkBytesPerSecond, 1);
    LONGS_EQUAL(7715, settings.value().metricsPort);
}

// Guards against registrations of a process before an upgrade that are refused or count for nothing.
TEST(SettingsFormat, ThePowerComesFromTheLimitsAndIsRegistered)
{
    const std::string base = "node = \"n\"\nip = \"10.0.0.1\"\nregion = \"r\"\nzone = \"z\"\ninternalPorts = [7700]\n[platform]\naddress = \"10.0.0.2:80\"\n";
    const auto power = [&base](const char* limits) { return decodeSettings(base + "[bounds]\ncontactMs = 1500\n[limits]\n" + limits).value().power(); };
    DOUBLES_EQUAL(0.5, power("cpuShare = 0.25\ncores = 2\nlinkMbps = 200\n"), 1e-9);
    DOUBLES_EQUAL(0.28, power("cpuShare = 0.5\nlinkMbps = 28\n"), 1e-9);
    CHECK(decodeSettings(base + "[bounds]\ncontactMs = 1500\n").value().contactBound == Milliseconds(1500));
    const auto decode = [](const std::string& fields) {
        const auto record = StoreFormat().decodeRecord({ "hyssopwick/nodes/e", R"({"address":"10.0.0.1:7","region":"r","failureDomain":"d","kind":"entry","incarnation":5)" + fields + "}", 1, false });
        return std::get<RegisteredNode>(record).power;
    };
    DOUBLES_EQUAL(1, decode(""), 1e-9);
    DOUBLES_EQUAL(0.17, decode(R"(,"power":0.17)"), 1e-9);
}

TEST_GROUP(CallFormat) {};

TEST(CallFormat, ACallIsDecoded)
{
    const CallFormat format;
    const auto call = format.decodeCall({ { "request-id", "r" }, { "Deadline-Ms", "1500" }, { "Authorization", "bearer k" }, { "Token-Counts", "1460,80" }, { "Prompt-Prefix", "a:1, b:2" }, { "Length-Hint", "x" } });
    STRCMP_EQUAL("r", call.requestId.c_str());
    STRCMP_EQUAL("k", call.accountKey.c_str());
    CHECK(call.callerTimeout == Milliseconds(1500));
    LONGS_EQUAL(1460, call.promptTokens);
    LONGS_EQUAL(80, call.maxAnswerTokens);
    LONGS_EQUAL(0, call.answerTokensHint);
    STRCMP_EQUAL("b", call.promptPrefix.c_str());
    CHECK(call.sharedPromptBlocks == std::vector<std::string>({ "a" }));
}

TEST(CallFormat, OnlyAnExplicitStatementCountsAsNotExecuted)
{
    const CallFormat format;
    CHECK(format.decodeAnswer(503, { { "Not-Executed", "1" } }).isNotRun);
    CHECK(format.decodeAnswer(421, {}).isNotRun);
    CHECK_FALSE(format.decodeAnswer(503, {}).isNotRun);
    CHECK_FALSE(format.decodeAnswer(500, {}).isNotRun);
    LONGS_EQUAL(3, format.decodeAnswer(200, { { "Weight-Versions", "3" } }).weightsVersion);
    LONGS_EQUAL(0, format.decodeAnswer(200, { { "Weight-Versions", "x" } }).weightsVersion);
}

TEST_GROUP(EngineFormat) {};

TEST(EngineFormat, AManifestSurvivesEncodingAndAMalformedDigestIsRejected)
{
    const EngineFormat format;
    const WeightsManifest manifest { { "m", 3 }, 1000, { Digest::of("a"), Digest::of("b") } };
    CHECK(format.decodeManifest(format.encodeManifest(manifest)).value() == manifest);
    CHECK_FALSE(format.decodeManifest(R"({"model":"m","version":1,"chunkBytes":5,"digests":["9f2c"]})").has_value());
}
