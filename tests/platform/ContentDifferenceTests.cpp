#include "../TestSupport.h"
#include "FleetSupport.h"
#include "ViewSupport.h"

#include <hyssopwick_gateway.h>

using namespace hyssopwick;

namespace {

/// The view of a process that others can follow.
struct Source {
    Source(EventLoop& eventLoop, const std::string& id, const std::string& storeAddress)
        : process(eventLoop, id, storeAddress, true)
        , listener(
              eventLoop, [this](const ServerExchangePointer& exchange) { CHECK(process.replicator.serve(exchange)); }, [] { return CallerLimits(); })
    {
        CHECK(listener.listen("127.0.0.1:0").has_value());
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(listener.port()); }

    ViewProcess process;
    HttpListener listener;
};

std::vector<StoreRecord> recordsOf(ViewProcess& process)
{
    const auto exchange = process.requestView(0);
    if (exchange->status != 200)
        return {};
    const auto answer = decodeView(exchange->fields, exchange->body);
    CHECK(answer.has_value());
    return answer.value().update.records;
}

}

// All differ at the position at which they begin, and no change of the store comes that would end it.
TEST_GROUP(ContentDifference)
{
    EventLoop loop { 1 };
    FleetStore store { loop };
    ScriptedUpstream unusedStore { loop };
    ScriptedUpstream earlierSource { loop };
    std::string first; // the entries in the order of the region, so that the later one follows the first
    std::string later;

    void setup() override
    {
        first = rendezvousFirst("store-followers/north", { "entry-1", "entry-2" });
        later = first == "entry-1" ? "entry-2" : "entry-1";
        store.set("hyssopwick/nodes/n", base64("{}"));
        store.set("op/config", base64("old"));
        store.set("op/config", base64("new"));
    }

    std::vector<StoreRecord> storedRecords() const { return { { "hyssopwick/nodes/n", "{}", 1, false }, { "op/config", "new", 3, false } }; }

    static VmIdentity entry(const std::string& id, const std::string& address) { return { id, address, "north", "north-a", "entry" }; }

    void runUntil(const std::function<bool()>& isDone, TimePoint until)
    {
        while (!isDone() && monotonicNow() < until)
            loop.run_one_for(Milliseconds(5));
    }

    void start(ViewProcess & process)
    {
        process.replicator.start({});
        runUntil([&] { return process.replicator.revision() != 0; }, monotonicNow() + Milliseconds(1000));
        LONGS_EQUAL(store.revision(), process.replicator.revision());
    }

    // Starts a process with these records at the store's revision, which it got from a source that is gone then.
    void startWith(ViewProcess & process, const std::vector<StoreRecord>& records)
    {
        const auto encoded = encodeView({ store.revision(), true, records });
        earlierSource.answer("HTTP/1.1 200 OK\r\nView-Age-Ms: 0\r\nContent-Length: " + std::to_string(encoded.body.size()) + "\r\n\r\n" + encoded.body);
        earlierSource.answer("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        process.replicator.setEntries({ entry("gone", earlierSource.address()) });
        start(process);
        CHECK(recordsOf(process) == records);
    }

    // Returns whether a process that has these records gets those of its source, which has the store's.
    bool healsFollowerWith(const std::vector<StoreRecord>& records)
    {
        Source source(loop, first, store.address());
        start(source.process);
        ViewProcess follower(loop, "follower", unusedStore.address(), false);
        startWith(follower, records);
        follower.replicator.setEntries({ entry(first, source.address()) });
        return healInTime({ &follower, &source.process });
    }

    // Returns whether a process whose read of the store was spoilt gets the store's records, which its follower has.
    bool healsSource()
    {
        Source source(loop, first, store.address());
        start(source.process);
        CHECK_FALSE(recordsOf(source.process) == storedRecords());
        ViewProcess follower(loop, "follower", unusedStore.address(), false);
        startWith(follower, storedRecords());
        follower.replicator.setEntries({ entry(first, source.address()) });
        return healInTime({ &follower, &source.process });
    }

    // Returns whether all processes have the store's records within the bound of configurations.
    bool healInTime(const std::vector<ViewProcess*>& processes)
    {
        const auto isEqual = [&] { return std::all_of(processes.begin(), processes.end(), [this](ViewProcess* process) { return recordsOf(*process) == storedRecords(); }); };
        runUntil(isEqual, monotonicNow() + processes.front()->context.description.configurationBound);
        return isEqual();
    }
};

// Guards against an entry that keeps an old configuration at the newest position until the next change.
TEST(ContentDifference, AFollowerWithAnOldRecordTakesItsSourcesContent)
{
    CHECK(healsFollowerWith({ { "hyssopwick/nodes/n", "{}", 1, false }, { "op/config", "old", 2, false } }));
}

TEST(ContentDifference, AFollowerWithADeletedRecordTakesItsSourcesContent)
{
    CHECK(healsFollowerWith({ { "deleted", "{}", 1, false }, { "hyssopwick/nodes/n", "{}", 1, false }, { "op/config", "new", 3, false } }));
}

// Guards against two values of one revision, of which neither would replace the other.
TEST(ContentDifference, AFollowerWithAnotherValueTakesItsSourcesContent)
{
    CHECK(healsFollowerWith({ { "hyssopwick/nodes/n", "{}", 1, false }, { "op/config", "spoilt", 3, false } }));
}

// Guards against a source that follows the store and is wrong itself: only its followers can tell.
TEST(ContentDifference, ASourceWithAnOldRecordReadsTheStoreAgain)
{
    store.spoilNextRead("op/config", base64("old"), 2);
    CHECK(healsSource());
}

TEST(ContentDifference, ASourceWithoutARecordReadsTheStoreAgain)
{
    store.spoilNextRead("op/config", "", 0);
    CHECK(healsSource());
}

// Guards against a difference that only an agent can see, since the entries before it agree with one another.
TEST(ContentDifference, ADifferenceIsToldToTheProcessThatFollowsTheStore)
{
    store.spoilNextRead("op/config", base64("old"), 2);
    Source source(loop, first, store.address());
    start(source.process);
    Source middle(loop, later, unusedStore.address());
    middle.process.replicator.setEntries({ entry(first, source.address()) });
    start(middle.process);
    ViewProcess follower(loop, "follower", unusedStore.address(), false);
    startWith(follower, storedRecords());
    CHECK_FALSE(recordsOf(middle.process) == storedRecords());
    follower.replicator.setEntries({ entry(later, middle.address()) });
    CHECK(healInTime({ &follower, &middle.process, &source.process }));
}

// Guards against reads of the whole view, or of the store, without end.
TEST(ContentDifference, ADifferenceThatReadsDoNotEndCostsFewOfThem)
{
    ContentCheck check;
    int reads = 0;
    for (int time = 0; time < 600000; time += 50) {
        check.recordDifference();
        if (!check.isReadDue(at(time)))
            continue;
        check.recordRead(at(time));
        ++reads;
    }
    CHECK(reads <= 20); // in ten minutes
    CHECK(reads >= 10); // it goes on
    CHECK_FALSE(check.isInDoubt() && check.isReadDue(at(600000)));
    check.recordDifference();
    CHECK(check.isReadDue(at(1200000)));
    check.recordRead(at(1200000));
    check.recordDifference();
    CHECK(check.isReadDue(at(1200250))); // a later one is not delayed by those
}

// Guards against reads for other reasons, after which a difference would stay longer.
TEST(ContentDifference, ReadsWithoutADifferenceDelayNone)
{
    ContentCheck check;
    for (int time = 0; time < 10000; time += 1000)
        check.recordRead(at(time));
    check.recordDifference();
    CHECK(check.isReadDue(at(9000)));
}

TEST(ContentDifference, ViewsWithoutADigestAreNotCompared)
{
    const ViewUpdate update { 9, true, { { "a", "1", 5, false } } };
    auto encoded = encodeView(update);
    CHECK_FALSE(decodeView(encoded.fields({}), encoded.body).value().contentDigest.has_value());
    encoded.contentDigest = 0x2f;
    const auto fields = encoded.fields({});
    STRCMP_EQUAL("000000000000002f", std::string(headerValue(fields, "View-Content")).c_str());
    LONGS_EQUAL(0x2f, *decodeView(fields, encoded.body).value().contentDigest);
    for (const auto* digest : { "", "x", "-1", "2f ", "2fx", "11112222333344445" })
        CHECK_FALSE(decodeView({ { "View-Age-Ms", "0" }, { "View-Content", digest } }, encoded.body).value().contentDigest.has_value());
}
