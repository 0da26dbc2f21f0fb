#include "ViewSupport.h"

#include <nlohmann/json.hpp>

using namespace hyssopwick;

namespace {

std::string withEra(const std::string& answer, int era)
{
    const std::string statusLine = answer.substr(0, answer.find("\r\n") + 2);
    return statusLine + "Store-Era: " + std::to_string(era) + "\r\n" + answer.substr(statusLine.size());
}

std::string page(const char* listName, std::uint64_t revision, const std::map<std::string, std::string>& records)
{
    auto items = nlohmann::json::array();
    for (const auto& [key, value] : records)
        items.push_back({ { "key", key }, { "value", base64(value) }, { "revision", revision } });
    return httpAnswer(nlohmann::json { { "at", revision }, { "hasMore", false }, { listName, items } }.dump());
}

std::string upstreamRecord(const std::string& address)
{
    return R"({"service":"s","address":")" + address + R"(","zone":"north-a","slots":4,"state":"ready","born":1000})";
}

}

/// The store comes back from an older copy, in a new era.
TEST_GROUP(StoreReturn)
{
    EventLoop loop { 1 };
    ScriptedUpstream store { loop };
    ViewProcess reader { loop, "reader", store.address(), true };
    std::vector<std::string> gone;
    std::vector<std::uint64_t> eras;

    void start(std::map<std::string, std::string> records = { { "servers/i-1", upstreamRecord("10.0.0.1:1") }, { "servers/i-2", upstreamRecord("10.0.0.2:1") } })
    {
        store.answer(withEra(page("items", 7, records), 1));
        ViewReplicator::Observer observer;
        observer.onUpstreamGone = [this](const std::string& id, RegistrationEnd end) {
            CHECK(end == RegistrationEnd::NotRestored);
            gone.push_back(id);
        };
        observer.onEvacuationEnd = [this](const Evacuation& evacuation) { gone.push_back(evacuation.failureDomain); };
        observer.onEra = [this](std::uint64_t era) { eras.push_back(era); };
        reader.replicator.start(std::move(observer));
        runUntil([this] { return reader.replicator.revision() == 7; });
    }

    void runUntil(const std::function<bool()>& isDone)
    {
        // The upper bound only ends a failing test.
        for (const auto deadline = monotonicNow() + Milliseconds(20000); !isDone() && monotonicNow() < deadline;)
            loop.run_one_for(Milliseconds(5));
        CHECK(isDone());
    }
};

TEST(StoreReturn, ChangesOfAnotherEraAreNotAppliedButAllIsReadAgain)
{
    start();
    store.answer(withEra(page("events", 9, { { "servers/i-3", upstreamRecord("10.0.0.3:1") } }), 2));
    store.answer(withEra(page("items", 6, { { "servers/i-1", upstreamRecord("10.0.0.1:1") } }), 2));
    runUntil([this] { return reader.replicator.position().era == 2; });
    LONGS_EQUAL(6, reader.replicator.revision());
    CHECK(eras == std::vector<std::uint64_t>({ 1, 2 }));
    CHECK(gone.empty()); // i-2 may be written again
    const auto returnSeenAt = monotonicNow();
    runUntil([this] { return !gone.empty(); });
    CHECK(gone == std::vector<std::string>({ "i-2" }));
    CHECK(monotonicNow() >= returnSeenAt + RestoredRecords::restorationTime - Milliseconds(200));
}

// The operator writes the record again within 2 s; until then calls must not go back into the domain.
TEST(StoreReturn, AnEvacuationThatAnOlderCopyLacksStaysInForceForATime)
{
    start({ { "op/evacuate/north-a", "{}" } });
    store.answer(withEra(page("events", 9, {}), 2));
    store.answer(withEra(page("items", 6, {}), 2));
    runUntil([this] { return reader.replicator.position().era == 2; });
    CHECK(gone.empty());
    const auto returnSeenAt = monotonicNow();
    runUntil([this] { return !gone.empty(); });
    CHECK(gone.front() == "north-a");
    CHECK(monotonicNow() >= returnSeenAt + RestoredRecords::restorationTime - Milliseconds(200));
}

TEST(StoreReturn, AnswersOfAnEarlierEraAreNotApplied)
{
    start();
    store.answer(withEra(page("events", 8, {}), 2));
    store.answer(withEra(page("items", 5, {}), 2));
    runUntil([this] { return reader.replicator.position().era == 2; });
    store.answer(withEra(page("events", 50, { { "servers/i-4", upstreamRecord("10.0.0.4:1") } }), 1));
    const auto requests = store.requests().size();
    runUntil([this, requests] { return store.requests().size() > requests + 1; });
    LONGS_EQUAL(5, reader.replicator.revision());
    LONGS_EQUAL(2, reader.replicator.position().era);
}

TEST(StoreReturn, FollowersOfAnEarlierEraGetAllRecordsAndThoseOfALaterOneNone)
{
    start();
    const auto request = [this](const std::string& target) {
        ServerRequest received;
        received.method = "GET";
        received.target = target;
        const auto exchange = std::make_shared<RecordedExchange>(std::move(received));
        CHECK(reader.replicator.serve(exchange));
        return exchange;
    };
    LONGS_EQUAL(503, request("/view?after=3&era=2")->status);
    LONGS_EQUAL(400, request("/view?after=3&era=")->status);
    LONGS_EQUAL(400, request("/view?after=x&era=1")->status);
    const auto behind = request("/view?after=90&era=0");
    LONGS_EQUAL(200, behind->status);
    const auto decoded = decodeView(behind->fields, behind->body);
    CHECK(decoded.value().update.isSnapshot);
    LONGS_EQUAL(1, decoded.value().update.era);
    LONGS_EQUAL(2, decoded.value().update.records.size());
}
