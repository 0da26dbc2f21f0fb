#include "PlainServiceSupport.h"

using namespace hyssopwick;

TEST_GROUP(UpstreamLimit)
{
    EventLoop loop { 1 };
    Fleet fleet { loop, 6, 2, "none" };
    static constexpr Milliseconds runTime { 2500 };

    // Rule LIMIT of the platform, of any 4 s: one and a half times the limit, and 5.
    static unsigned allowed(double limit) { return static_cast<unsigned>(1.5 * 4 * limit) + 5; }

    // Calls all entries in turn. Returns how many calls were not served.
    template <typename Call>
    unsigned callAllEntries(Call call)
    {
        unsigned failed = 0;
        for (const auto until = monotonicNow() + runTime; monotonicNow() < until;) {
            for (std::size_t entry = 0; entry < fleet.size(); ++entry)
                failed += call(entry) != 200;
        }
        return failed;
    }
};

TEST(UpstreamLimit, EntriesTogetherKeepTheLimitOfAPlainUpstream)
{
    PlainService service { loop, fleet, 2, "safe", 2 };
    service.upstream(0).limit = "2";
    const auto call = [&](std::size_t entry) { return service.call(entry, "/q/sound"); };
    fleet.runUntil([&] { return call(0) == 200; });
    const auto before = service.upstream(0).requests;
    LONGS_EQUAL(0, callAllEntries(call));
    CHECK_COMPARE(service.upstream(0).requests - before, <=, allowed(2) + fleet.size()); // one each that had not been told
}

TEST(UpstreamLimit, EntriesTogetherKeepTheLimitOfAnEngine)
{
    fleet.engine(0).limit = "2";
    unsigned number = 0;
    const auto call = [&](std::size_t entry) {
        const auto id = std::to_string(++number);
        return fleet.call(entry, "r" + id, "a1:40,c" + id + ":100");
    };
    LONGS_EQUAL(0, callAllEntries(call));
    CHECK_COMPARE(fleet.engine(0).answers, <=, allowed(2) + fleet.size());
}

TEST(UpstreamLimit, CallsAreRefusedWithATimeWhenNoUpstreamHasAPlace)
{
    PlainService service { loop, fleet, 1, "unsafe", 1 };
    service.upstream(0).limit = "0.5";
    std::optional<WholeResponse> refused;
    fleet.runUntil([&] {
        const auto response = service.send(0, "/q/sound");
        if (response.status != 200)
            refused = response;
        return refused.has_value();
    });
    LONGS_EQUAL(503, refused->status);
    CHECK(std::stod(std::string(headerValue(refused->fields, "Retry-After"))) > 0);
}

TEST(UpstreamLimit, ALimitEndsWithTheFirstAnswerThatDoesNotNameIt)
{
    PlainService service { loop, fleet, 1, "safe", 1 };
    service.upstream(0).limit = "4";
    fleet.runUntil([&] { return service.call(0, "/q/sound") == 503; });
    service.upstream(0).limit.clear();
    fleet.runUntil([&] { return service.call(0, "/q/sound") == 200; });
    for (std::size_t entry = 0; entry < fleet.size(); ++entry)
        service.waitUntilServed(entry);
    unsigned refused = 0;
    for (int round = 0; round < 20; ++round)
        refused += service.call(static_cast<std::size_t>(round) % fleet.size(), "/q/sound") != 200;
    LONGS_EQUAL(0, refused);
}

TEST(UpstreamLimit, AnEntryThatStartsLaterHearsThatAnUpstreamLeaves)
{
    PlainService service { loop, fleet, 2, "safe", 2 };
    service.upstream(0).isLeaving = true;
    const auto leaving = [this](std::size_t entry) { return fleet.metrics(entry).find("upstreams_leaving_total") != std::string::npos; };
    fleet.runUntil([&] { return service.call(0, "/q/sound") == 200 && leaving(0); });
    fleet.addEntry();
    fleet.runUntil([&] { return leaving(6); });
    const auto before = service.upstream(0).requests;
    for (int number = 0; number < 20; ++number)
        LONGS_EQUAL(200, service.call(6, "/q/sound"));
    LONGS_EQUAL(before, service.upstream(0).requests);
}

TEST(UpstreamLimit, AnEntryThatStartsLaterHearsOfALimit)
{
    PlainService service { loop, fleet, 2, "safe", 2 };
    service.upstream(0).limit = "0.05";
    const auto limited = [this](std::size_t entry) { return fleet.metrics(entry).find("upstreams_limited_total") != std::string::npos; };
    fleet.runUntil([&] { return service.call(0, "/q/sound") == 200 && limited(0); });
    fleet.addEntry();
    fleet.runUntil([&] { return limited(6); });
    const auto before = service.upstream(0).requests;
    for (int number = 0; number < 20; ++number)
        LONGS_EQUAL(200, service.call(6, "/q/sound"));
    CHECK_COMPARE(service.upstream(0).requests, <=, before + 1); // its place may have come
}
