#include "PlainServiceSupport.h"

using namespace hyssopwick;

TEST_GROUP(RequestCrash)
{
    EventLoop loop { 1 };
    Fleet fleet { loop, 6, 0, "none" };

    // Repeats the request at entry after entry while the upstreams always start again.
    void repeatAtAllEntries(PlainService & service, int rounds)
    {
        for (int round = 0; round < rounds; ++round) {
            service.call(static_cast<std::size_t>(round) % fleet.size(), PlainService::crashingTarget);
            service.restartAll();
        }
    }
};

// Three crashes, and three more until all entry VMs know of them.
TEST(RequestCrash, ARepeatedRequestThatCrashesPlainUpstreamsIsRefusedByAllEntries)
{
    PlainService service { loop, fleet, 3, "safe", 3 };
    repeatAtAllEntries(service, 12);
    CHECK_COMPARE(service.crashes(), <=, 6u);
    LONGS_EQUAL(200, service.call(0, "/q/sound"));
}

TEST(RequestCrash, ARequestThatMayRunOnceIsRefusedToo)
{
    PlainService service { loop, fleet, 3, "unsafe", 1 };
    repeatAtAllEntries(service, 12);
    CHECK_COMPARE(service.crashes(), <=, 6u);
    LONGS_EQUAL(200, service.call(0, "/q/sound"));
}

TEST(RequestCrash, AnEntryThatStartsLaterRefusesTheRequestToo)
{
    PlainService service { loop, fleet, 3, "safe", 3 };
    repeatAtAllEntries(service, 12);
    const auto crashes = service.crashes();
    fleet.addEntry();
    service.waitUntilServed(6);
    for (int late = 0; late < 3; ++late) {
        service.call(6, PlainService::crashingTarget);
        service.restartAll();
    }
    CHECK_COMPARE(service.crashes(), <=, crashes + 1); // a recheck may be due meanwhile
}

TEST(RequestCrash, AFailureAnswerDoesNotClearTheRequest)
{
    PlainService service { loop, fleet, 3, "unsafe", 1 };
    repeatAtAllEntries(service, 2);
    for (std::size_t number = 0; number < 3; ++number)
        service.upstream(number).isFailing = true;
    LONGS_EQUAL(500, service.call(0, PlainService::crashingTarget));
    for (std::size_t number = 0; number < 3; ++number)
        service.upstream(number).isFailing = false;
    for (int round = 0; round < 12; ++round) {
        service.call(0, PlainService::crashingTarget);
        service.restartAll();
    }
    CHECK_COMPARE(service.crashes(), <=, 4u); // the third, and a recheck
}
