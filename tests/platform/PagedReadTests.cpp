#include "../TestSupport.h"
#include "ViewSupport.h"

#include <algorithm>
#include <hyssopwick_gateway.h>
#include <nlohmann/json.hpp>

using namespace hyssopwick;

namespace {

using Json = nlohmann::json;

Json item(const std::string& key, const std::string& value, std::uint64_t revision)
{
    return { { "key", key }, { "value", base64(value) }, { "revision", revision } };
}

std::string pageAnswer(std::uint64_t revision, bool hasMore, const std::vector<Json>& items)
{
    return httpAnswer(Json { { "at", revision }, { "hasMore", hasMore }, { "items", items } }.dump());
}

std::string changesAnswer(std::uint64_t revision, const std::vector<Json>& events) { return httpAnswer(Json { { "at", revision }, { "events", events } }.dump()); }

const std::string unavailable = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
const std::string historyGone = "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n";

}

TEST_GROUP(PagedRead)
{
    EventLoop loop { 1 };
    ScriptedUpstream store { loop };
    ViewProcess reader { loop, "reader", store.address(), true };

    void readTo(std::uint64_t revision)
    {
        reader.replicator.start({});
        while (reader.replicator.revision() == 0)
            loop.run_one();
        LONGS_EQUAL(revision, reader.replicator.revision());
    }

    std::vector<StoreRecord> recordsSince(std::uint64_t known)
    {
        const auto exchange = reader.requestView(known);
        const auto answer = decodeView(exchange->fields, exchange->body);
        CHECK(answer.has_value());
        return answer.value().update.records;
    }

    bool isRequest(std::size_t number, const std::string& target) const
    {
        return store.requests().size() > number && store.requests()[number].rfind("GET " + target, 0) == 0;
    }
};

// Regression: an entry kept an old configuration for good, since its source had read the newer one ahead of its
// position and did not pass it on to an entry that was past the first page's revision.
TEST(PagedRead, ARecordThatALaterPageBroughtReachesAFollowerPastTheFirstPage)
{
    store.answer(pageAnswer(7, true, { item("hyssopwick/nodes/n", "{}", 5) }));
    store.answer(pageAnswer(9, false, { item("op/config", "{}", 9) }));
    store.answer(changesAnswer(9, { item("op/config", "{}", 9) }));
    reader.replicator.start({});
    while (reader.replicator.revision() < 9)
        loop.run_one();
    const auto records = recordsSince(8);
    CHECK(std::find(records.begin(), records.end(), StoreRecord { "op/config", "{}", 9, false }) != records.end());
}

// Guards against followers that get records from after the position that the answer states.
TEST(PagedRead, AViewIsNotServedBeforeItHoldsOnePosition)
{
    store.answer(pageAnswer(7, true, { item("a", "1", 5), item("b", "1", 6) }));
    store.answer(pageAnswer(9, false, { item("c", "2", 9) }));
    store.answer(changesAnswer(10, { Json { { "key", "a" }, { "revision", 8 }, { "deleted", true } }, item("c", "2", 9), item("b", "2", 10) }));
    readTo(10);
    CHECK(isRequest(2, "/-/kv-watch?prefix=&after=7"));
    const auto records = recordsSince(0);
    LONGS_EQUAL(2, records.size());
    CHECK(records[0] == StoreRecord({ "b", "2", 10, false }));
    CHECK(records[1] == StoreRecord({ "c", "2", 9, false }));
}

TEST(PagedRead, AReadWithoutChangesMeanwhileTakesNoFurtherCall)
{
    store.answer(pageAnswer(7, true, { item("a", "1", 5) }));
    store.answer(pageAnswer(7, false, { item("b", "1", 6) }));
    readTo(7);
    LONGS_EQUAL(2, recordsSince(0).size());
    LONGS_EQUAL(2, store.requests().size());
}

// Guards against records that were deleted between a read that failed and the next one.
TEST(PagedRead, AReadThatFailedHalfWayLeavesNothing)
{
    store.answer(pageAnswer(7, true, { item("a", "1", 5), item("b", "1", 6) }));
    store.answer(unavailable);
    store.answer(pageAnswer(9, true, { item("b", "1", 6) }));
    store.answer(pageAnswer(9, false, { item("c", "1", 9) }));
    readTo(9);
    const auto records = recordsSince(0);
    LONGS_EQUAL(2, records.size());
    STRCMP_EQUAL("b", records.front().key.c_str());
}

// Guards against a view without the changes of a history that the store no longer has.
TEST(PagedRead, AReadWhoseChangesAreGoneBeginsAnew)
{
    store.answer(pageAnswer(7, true, { item("a", "1", 5) }));
    store.answer(pageAnswer(9, false, { item("b", "1", 9) }));
    store.answer(historyGone);
    store.answer(pageAnswer(9, true, { item("a", "2", 8) }));
    store.answer(pageAnswer(9, false, { item("b", "1", 9) }));
    readTo(9);
    STRCMP_EQUAL("2", recordsSince(0).front().value.c_str());
}
