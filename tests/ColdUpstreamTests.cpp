#include "TestSupport.h"

#include <hyssopwick_requests.h>

using namespace hyssopwick;

/// Which upstreams count as cold, and why.
TEST_GROUP(ColdUpstreams)
{
    static constexpr std::int64_t coldTime = 3000;

    ColdUpstreams cold { "entry-1", at(0) };

    void setup() override { cold.setRules({ { "s", ColdRule { Milliseconds(coldTime), 14, 1.5, 5, true } } }); }

    static Upstream upstream(const std::string& id, UnixMilliseconds startedAt, std::optional<std::int64_t> coldLeft = 0)
    {
        Upstream upstream;
        upstream.id = id;
        upstream.service = "s";
        upstream.address = "10.0.0.1:80";
        upstream.failureDomain = "north-a";
        upstream.startedAt = startedAt;
        if (coldLeft)
            upstream.coldLeft = Milliseconds(*coldLeft);
        return upstream;
    }

    void add(const Upstream& upstream, std::int64_t time, UnixMilliseconds unixTime = 0) { cold.recordRegistration(upstream, at(time), unixTime); }

    bool report(UnixMilliseconds startedAt, std::int64_t time, std::int64_t coldLeft = 0)
    {
        EngineReport report;
        report.startedAt = startedAt;
        report.coldLeft = Milliseconds(coldLeft);
        return cold.recordReport("10.0.0.1:80", report, at(time));
    }

    std::string reasonAt(std::int64_t time, const std::string& id = "i-1") const
    {
        const auto state = cold.stateOf(id, at(time));
        return state ? coldReasonName(state->reason) : "warm";
    }

    void addWarm()
    {
        add(upstream("i-1", 1000), 0);
        cold.completeFirstView();
        report(1000, 100);
    }
};

// Guards against limits at a start of the whole system.
TEST(ColdUpstreams, AnUpstreamOfTheFirstViewIsNotCold)
{
    addWarm();
    STRCMP_EQUAL("warm", reasonAt(101).c_str());
    CHECK_FALSE(cold.availableCalls("i-1", at(101)).has_value());
}

// Guards against a restarted entry that floods an engine which had just started.
TEST(ColdUpstreams, AnUpstreamOfTheFirstViewIsColdForAsLongAsItSays)
{
    add(upstream("i-1", 1000, 2000), 0);
    cold.completeFirstView();
    report(1000, 1900);
    STRCMP_EQUAL("registration", reasonAt(1999).c_str());
    STRCMP_EQUAL("warm", reasonAt(2001).c_str());
}

// Guards against wall clocks that are apart: what the registration says counts before its age.
TEST(ColdUpstreams, ItsAgeCountsOnlyIfTheRegistrationDoesNotSayHowLongItIsCold)
{
    add(upstream("i-1", 1'000'000, std::nullopt), 0, 1'001'000);
    add(upstream("i-2", 1'000'000, std::nullopt), 0, 990'000); // it started in the future
    add(upstream("i-3", 1'000'000, std::nullopt), 0, 9'000'000);
    add(upstream("i-4", 1'000'000, 0), 0, 1'001'000);
    cold.completeFirstView();
    report(1'000'000, 1500);
    STRCMP_EQUAL("registration", reasonAt(1999, "i-1").c_str());
    STRCMP_EQUAL("warm", reasonAt(2001, "i-1").c_str());
    STRCMP_EQUAL("registration", reasonAt(2999, "i-2").c_str());
    STRCMP_EQUAL("warm", reasonAt(3000, "i-2").c_str());
    STRCMP_EQUAL("warm", reasonAt(1501, "i-3").c_str());
    STRCMP_EQUAL("warm", reasonAt(1501, "i-4").c_str());
}

// Guards against a new start whose registration does not say that it is cold, under a new id or the old one.
TEST(ColdUpstreams, AStartAfterTheFirstViewIsCold)
{
    addWarm();
    add(upstream("i-2", 9000), 10'000);
    add(upstream("i-1", 9000), 10'000);
    report(9000, 12'500);
    for (const auto* id : { "i-1", "i-2" }) {
        STRCMP_EQUAL("new-start", reasonAt(12'999, id).c_str());
        STRCMP_EQUAL("warm", reasonAt(13'000, id).c_str());
    }
}

// Guards against limits after an outage of the store in which registrations were lost.
TEST(ColdUpstreams, ARegistrationThatComesBackIsNoNewStart)
{
    addWarm();
    cold.recordRemoval("i-1", at(5000));
    cold.expire(at(60'000));
    add(upstream("i-1", 1000), 60'000);
    report(1000, 60'000);
    STRCMP_EQUAL("warm", reasonAt(60'001).c_str());
    cold.recordRemoval("i-1", at(61'000));
    cold.expire(at(200'000));
    add(upstream("i-1", 1000), 200'000);
    STRCMP_EQUAL("new-start", reasonAt(200'001).c_str()); // it may be one
}

// Guards against calls in the time between a restart and its registration, and against counting it twice.
TEST(ColdUpstreams, AnAgentReportsARestartBeforeItsRegistration)
{
    addWarm();
    CHECK_FALSE(report(1000, 1000));
    CHECK(report(9000, 2000));
    STRCMP_EQUAL("restart", reasonAt(2001).c_str());
    add(upstream("i-2", 9000), 4000);
    STRCMP_EQUAL("new-start", reasonAt(4001, "i-2").c_str());
    report(9000, 4900);
    STRCMP_EQUAL("warm", reasonAt(5000, "i-2").c_str()); // 3 s after the agent saw it
}

// Guards against an engine that turns cold without a restart.
TEST(ColdUpstreams, AnAgentReportsThatItsEngineIsCold)
{
    addWarm();
    CHECK(report(1000, 1000, 800));
    STRCMP_EQUAL("registration", reasonAt(1799).c_str());
    STRCMP_EQUAL("warm", reasonAt(1800).c_str());
    CHECK(report(1000, 1200, 0));
    STRCMP_EQUAL("warm", reasonAt(1201).c_str());
}

// Guards against a restart that no message tells of.
TEST(ColdUpstreams, AnEngineThatIsNotHeardOfIsColdUntilItIs)
{
    addWarm();
    STRCMP_EQUAL("warm", reasonAt(1600).c_str());
    STRCMP_EQUAL("not-heard", reasonAt(1601).c_str());
    CHECK(cold.nextChange("i-1", at(1000)) <= std::optional<TimePoint>(at(1601)));
    CHECK(report(1000, 3000));
    STRCMP_EQUAL("warm", reasonAt(3001).c_str());
}

TEST(ColdUpstreams, UpstreamsOfADomainAreColdAfterItsEvacuation)
{
    addWarm();
    cold.recordEvacuationEnd("north-b", at(1000));
    STRCMP_EQUAL("warm", reasonAt(1001).c_str());
    cold.recordEvacuationEnd("north-a", at(1000));
    STRCMP_EQUAL("evacuation-end", reasonAt(1001).c_str());
    report(1000, 3500);
    STRCMP_EQUAL("warm", reasonAt(4000).c_str());
}

// Guards against two entries that tell each other of a cold upstream for ever.
TEST(ColdUpstreams, WhatAPeerSaysIsBelievedForTheColdTimeAndNotRepeated)
{
    addWarm();
    report(1000, 1000);
    cold.merge({ at(0), "i-1", at(100'000) }, at(1000));
    STRCMP_EQUAL("peer", reasonAt(1001).c_str());
    CHECK(cold.notices(at(1001)) == std::vector<ColdNotice>({ cold.originNotice(at(1001)) }));
    CHECK_FALSE(cold.announcement("i-1", at(1001)).has_value());
    report(1000, 3900);
    STRCMP_EQUAL("warm", reasonAt(4000).c_str());
}

// Guards against messages and limits of services that are never cold.
TEST(ColdUpstreams, WithoutRulesNothingIsColdAndNothingIsSaid)
{
    cold.setRules({});
    addWarm();
    add(upstream("i-2", 9000, 3000), 1000);
    STRCMP_EQUAL("warm", reasonAt(1001, "i-2").c_str());
    CHECK(cold.notices(at(1001)).empty());
    CHECK(cold.upstreamsOf("s").empty());
    CHECK_FALSE(cold.nextChange("i-1", at(1001)).has_value());
}

// Guards against an origin that follows a late message, and entries that never agree.
TEST(ColdUpstreams, TheEarliestOriginCountsAndItsHolderTellsOthers)
{
    CommonOrigin origin(at(1000));
    origin.setEntryCount(4);
    CHECK(origin.merge(at(5000), at(6000)));
    CHECK_FALSE(origin.merge(at(400), at(6000)));
    CHECK(origin.origin() == at(400));
    origin.merge(at(410), at(6100));
    CHECK(origin.origin() == at(400));
    origin.merge(at(405), at(6200));
    CHECK_FALSE(origin.isAgreed(at(7999)));
    CHECK(origin.isAgreed(at(8000)));
    CHECK_FALSE(origin.isAgreed(at(700'000))); // clocks may be apart by then
}
