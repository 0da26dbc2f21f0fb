#include "TestSupport.h"

#include <filesystem>
#include <fstream>
#include <hyssopwick_records.h>
#include <nlohmann/json.hpp>

using namespace hyssopwick;

namespace {
const std::string manifestHex(64, 'a');

Record parsed(const std::string& text)
{
    Findings findings;
    const auto record = parseRecord(text, "r.toml", findings);
    CHECK(findings.empty());
    CHECK(record.has_value());
    return *record;
}

Findings findingsOf(const std::string& text)
{
    Findings findings;
    CHECK_FALSE(parseRecord(text, "r.toml", findings).has_value());
    return findings;
}

Bundle bundleWith(int number)
{
    PlacementRecord placement;
    placement.name = "m";
    placement.version = "v" + std::to_string(number);
    placement.manifest = digestOf(number);
    placement.workerKind = "model";
    return Bundle({ placement, VmStateRecord { "vm-1", number % 2 == 0 } });
}

}

TEST_GROUP(RecordFiles) {};

TEST(RecordFiles, Schema1PlacementIsConvertedToSchema2)
{
    const auto schema1 = parsed("schema = 1\nkind = \"placement\"\nmodel = \"m@v1\"\nmanifest = \"" + manifestHex + "\"\nreplicas = 5\n");
    const auto schema2 = parsed("schema = 2\nkind = \"placement\"\nname = \"m\"\nversion = \"v1\"\nmanifest = \"" + manifestHex + "\"\nreplicas = 5\nmin_serving = 4\n");
    CHECK(schema1 == schema2);
}

TEST(RecordFiles, AllFindingsAreReportedWithTheirLocation)
{
    const auto findings = findingsOf("schema = 2\nkind = \"placement\"\nname = 3\nversion = \"v1\"\nmanifest = \"xyz\"\nreplicas = 0\ncolour = \"red\"\n");
    LONGS_EQUAL(4, findings.size());
    CHECK(findings[0].text() == "r.toml:3:8: key \"name\" must be a string");
    CHECK(findings[1].text().find("r.toml:5:12: key \"manifest\"") == 0);
    CHECK(findings[2].text().find("r.toml:6:12: key \"replicas\" is 0 but must be in 1..") == 0);
    CHECK(findings[3].text() == "r.toml:7:1: key \"colour\" is not known");
}

TEST(RecordFiles, SyntaxErrorsAndUnknownKindsAreFindings)
{
    CHECK(findingsOf("schema = ").front().line == 1);
    CHECK(findingsOf("schema = 2\nkind = \"planet\"\n").front().message.find("must be one of") != std::string::npos);
    CHECK(findingsOf("schema = 3\nkind = \"account\"\n").front().message.find("must be in 1..2") != std::string::npos);
}

TEST(RecordFiles, MethodListedAsIdempotentAndNotIdempotentIsAFinding)
{
    const auto findings = findingsOf("schema = 2\nkind = \"service\"\nname = \"s\"\nworker_kind = \"s\"\ntype = \"plain\"\nidempotent_methods = [\"a\"]\nnon_idempotent_methods = [\"a\"]\n");
    CHECK(findings.front().message.find("idempotent and as not idempotent") != std::string::npos);
}

TEST(RecordFiles, RandomTextDoesNotCrashTheParser)
{
    RandomSource random(5);
    const std::string base = "schema = 2\nkind = \"account\"\nname = \"a\"\ncredential_sha256 = \"" + manifestHex + "\"\nweight = 3\n";
    int accepted = 0;
    for (int round = 0; round < 2000; ++round) {
        auto text = base;
        for (std::uint64_t changes = 1 + random.below(3); changes > 0; --changes)
            text[random.below(text.size())] = static_cast<char>(random.below(256));
        Findings findings;
        const auto record = parseRecord(text, "r.toml", findings);
        CHECK(record.has_value() == findings.empty());
        accepted += record.has_value();
    }
    CHECK(accepted > 0 && accepted < 2000);
}

TEST_GROUP(Directory)
{
    const std::string path = (std::filesystem::temp_directory_path() / ("hyssopwick-records-" + std::to_string(unixNow()))).string();
    void setup() override { std::filesystem::create_directories(path); }
    void teardown() override { std::filesystem::remove_all(path); }
    void write(const std::string& name, const std::string& text) { std::ofstream(path + "/" + name) << text; }
};

TEST(Directory, ReportsDuplicateRecordsAndMissingBases)
{
    const auto state = "schema = 2\nkind = \"vm-state\"\nname = \"vm-1\"\nstate = \"leaving\"\n";
    write("a.toml", state);
    write("b.toml", state);
    write("c.toml", "schema = 2\nkind = \"placement\"\nname = \"adapter\"\nversion = \"1\"\nmanifest = \"" + manifestHex + "\"\nreplicas = 1\nbase = \"nothing\"\n");
    Findings findings;
    readRecordDirectory(path, findings);
    LONGS_EQUAL(2, findings.size());
    CHECK(findings[0].message.find("is also in") != std::string::npos);
    CHECK(findings[1].message.find("has no placement") != std::string::npos);
    CHECK(findings[1].file.find("c.toml") != std::string::npos);
}

TEST(Directory, EmptyOrMissingDirectoryIsAFinding)
{
    Findings findings;
    readRecordDirectory(path, findings);
    readRecordDirectory(path + "/missing", findings);
    LONGS_EQUAL(2, findings.size());
}

TEST_GROUP(BundleValue) {};

TEST(BundleValue, EqualRecordsGiveEqualDigestsAndTextCanBeParsed)
{
    CHECK(bundleWith(1) == bundleWith(1));
    CHECK(bundleWith(1) != bundleWith(2));
    const auto parsed = Bundle::parse(bundleWith(1).text());
    CHECK(parsed.has_value());
    CHECK(parsed.value() == bundleWith(1));
}

TEST(BundleValue, NewerSchemaIsRejected)
{
    const auto parsed = Bundle::parse("{\"schema\":3,\"records\":[]}");
    CHECK_FALSE(parsed.has_value());
    CHECK(parsed.error().message.find("schema 3") != std::string::npos);
}

TEST(BundleValue, DeltaMustGiveTheStatedDigest)
{
    const auto delta = makeBundleDelta(bundleWith(1), bundleWith(2));
    CHECK(applyBundleDelta(bundleWith(1), delta).value() == bundleWith(2));
    const auto wrongBase = applyBundleDelta(Bundle({ AccountRecord { "x", digestOf(1), 1, 5, 0 } }), delta);
    CHECK(wrongBase.error().code == ErrorCode::Corrupt);
    CHECK(applyBundleDelta(Bundle(), nlohmann::json(3)).error().code == ErrorCode::InvalidInput);
}

TEST(BundleValue, DifferencesListTheChangedFields)
{
    const auto lines = describeDifference(bundleWith(1), bundleWith(3));
    LONGS_EQUAL(1, lines.size());
    CHECK(lines[0].find("~ placement/m: ") == 0);
    CHECK(lines[0].find("version \"v1\" -> \"v3\"") != std::string::npos);
}

TEST_GROUP(Settings) {};

TEST(Settings, UnknownKeysRangesAndDuplicateAddressesAreReportedTogether)
{
    const auto text = "vm = \"e\"\nregion = \"r\"\nfailure_domain = \"d\"\nlisten = \"127.0.0.1:80\"\nkey_value = \"127.0.0.1:80\"\nvm_list = \"host:1\"\npeer_key_id = \"k\"\npeer_key = \"short\"\nworker_threads = 0\nspeed = 1\n";
    Findings findings;
    CHECK_FALSE(parseEntrySettings(text, "s.toml", findings).has_value());
    std::string all;
    for (const auto& finding : findings)
        all += finding.text() + "\n";
    CHECK(all.find("s.toml:5:13: key \"key_value\" has the same address as \"listen\"") != std::string::npos);
    CHECK(all.find("must be \"ip:port\"") != std::string::npos);
    CHECK(all.find("at least 16 characters") != std::string::npos);
    CHECK(all.find("\"worker_threads\" is 0") != std::string::npos);
    CHECK(all.find("\"speed\" is not known") != std::string::npos);
}

TEST(Settings, CompleteAgentFileIsRead)
{
    const auto text = "vm = \"a\"\nregion = \"r\"\nfailure_domain = \"d\"\nlisten = \"127.0.0.1:81\"\nkey_value = \"127.0.0.1:82\"\nvm_list = \"127.0.0.1:83\"\npeer_key_id = \"k\"\npeer_key = \"0123456789abcdef\"\nworker_kind = \"model\"\norigin = \"127.0.0.1:84\"\norigin_region = \"r\"\nupstream = \"127.0.0.1:85\"\nuplink_bytes_per_second = 1000000\nregion_link_bytes_per_second = 500000\n";
    Findings findings;
    const auto settings = parseAgentSettings(text, "s.toml", findings);
    CHECK(settings.has_value());
    LONGS_EQUAL(1000000, settings->downlinkBytesPerSecond);
    CHECK(settings->vm.kind == "model");
}
