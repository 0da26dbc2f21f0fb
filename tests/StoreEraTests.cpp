#include "ModelStore.h"
#include <set>

using namespace hyssopwick;

namespace {

/// One process's view, which reads the store or another view as ViewReplicator does.
class ModelProcess {
public:
    void readStore(const ModelStore& store, TimePoint now)
    {
        if (m_view.revision() == 0 || m_isFullReadNeeded)
            return apply(store.read(), now);
        const auto update = store.watch(m_view.revision());
        m_isFullReadNeeded = !update || update->era != m_view.position().era;
        if (!m_isFullReadNeeded)
            apply(*update, now);
    }

    void readPeer(const ModelProcess& peer, TimePoint now)
    {
        if (peer.m_view.revision() != 0 && peer.m_view.position().era >= m_view.position().era)
            apply(peer.m_view.updateSince(m_view.position()), now);
    }

    /// Applies what was read earlier, as an answer that was long on its way.
    void receiveLate(const ViewUpdate& update, TimePoint now) { apply(update, now); }

    ViewUpdate currentUpdate() const { return m_view.updateSince({}); }

    std::vector<std::string> expire(TimePoint now) { return m_restored.expire(now); }

    const StoreView& view() const { return m_view; }
    TimePoint returnSeenAt() const { return m_returnSeenAt; }

private:
    void apply(const ViewUpdate& update, TimePoint now)
    {
        const auto before = m_view.position();
        const auto changed = m_view.apply(update);
        CHECK_FALSE(m_view.position() < before);
        if (update.isSnapshot && m_view.position() == update.position())
            m_isFullReadNeeded = false;
        const bool isRestored = m_view.position().era != before.era && before.revision != 0;
        if (isRestored) {
            m_restored.recordReturn(now);
            m_returnSeenAt = now;
        }
        for (const auto& record : changed) {
            if (isRestored && record.isDeleted)
                m_restored.recordMissing(record.key, now);
            else
                m_restored.recordPresent(record.key);
        }
    }

    StoreView m_view;
    RestoredRecords m_restored;
    bool m_isFullReadNeeded = false;
    TimePoint m_returnSeenAt;
};

void checkRecordsEqual(const ModelStore::Records& expected, const std::map<std::string, StoreRecord>& actual)
{
    LONGS_EQUAL(expected.size(), actual.size());
    for (const auto& [key, record] : expected) {
        CHECK(actual.count(key) != 0);
        CHECK(record == actual.at(key));
    }
}

}

TEST_GROUP(StoreEra) {
    Upstream upstream(const std::string& id, UnixMilliseconds startedAt, UpstreamState state = UpstreamState::Ready) const {
        Upstream result;
result.id = id;
result.service = "models";
result.address = "10.0.0.1:80";
result.failureDomain = "north-a";
result.startedAt = startedAt;
result.state = state;
return result;
}
}
;

// Views of any order of events hold the records of one position of the store, never go back,
// and end equal to the store.
TEST(StoreEra, ViewsHoldOnePositionOfTheStoreAndNeverGoBack)
{
    constexpr int seeds = 1000;
    constexpr std::size_t processCount = 4;
    for (int seed = 0; seed < seeds; ++seed) {
        RandomSource random(static_cast<std::uint64_t>(seed));
        ModelStore store;
        std::vector<ModelProcess> processes(processCount);
        std::vector<ViewUpdate> inFlight;
        for (int step = 0; step < 120; ++step) {
            const auto now = at(step * 50);
            auto& process = processes[random.below(processCount)];
            const auto& peer = processes[random.below(processCount)];
            const std::string key(1, static_cast<char>('a' + random.below(5)));
            switch (random.below(12)) {
            case 0:
            case 1:
            case 2:
                store.write(key, std::to_string(seed * 1000 + step));
                break;
            case 3:
                store.erase(key);
                break;
            case 4:
                if (random.below(4) == 0)
                    store.returnFromCopy(1 + random.below(6));
                break;
            case 5:
                if (random.below(4) == 0)
                    store.dropHistory();
                break;
            case 6:
                process = ModelProcess(); // a restart
                break;
            case 7:
                inFlight.push_back(random.below(2) == 0 ? store.read() : peer.currentUpdate());
                break;
            case 8:
                if (!inFlight.empty() && inFlight.front().revision != 0) {
                    process.receiveLate(inFlight.front(), now);
                    inFlight.erase(inFlight.begin());
                }
                break;
            case 9:
            case 10:
                process.readStore(store, now);
                break;
            default:
                process.readPeer(peer, now);
            }
            for (const auto& checked : processes) {
                if (checked.view().revision() != 0)
                    checkRecordsEqual(store.recordsAt(checked.view().position()), checked.view().records());
            }
        }
        for (int round = 0; round < 3; ++round) {
            for (auto& process : processes)
                process.readStore(store, at(100000));
        }
        for (const auto& process : processes) {
            CHECK(store.position() == process.view().position());
            checkRecordsEqual(store.records(), process.view().records());
        }
    }
}

// An owner that lives writes its record again within two seconds of the store's return.
TEST(StoreEra, OnlyRecordsThatAreNotWrittenAgainAreRemoved)
{
    for (int seed = 0; seed < 1000; ++seed) {
        RandomSource random(static_cast<std::uint64_t>(seed));
        ModelStore store;
        store.write("configuration", "1");
        const std::size_t owners = 6;
        for (std::size_t owner = 0; owner < owners; ++owner)
            store.write("owner-" + std::to_string(owner), "1");
        ModelProcess process;
        process.readStore(store, at(0));
        process.readStore(store, at(0));
        // The store may be away first, and it may come back twice.
        store.returnFromCopy(random.below(owners) + 1);
        const bool returnsTwice = random.below(3) == 0;
        std::map<std::string, std::int64_t> writtenAgainAt;
        for (std::size_t owner = 0; owner < owners; ++owner) {
            if (random.below(3) != 0)
                writtenAgainAt["owner-" + std::to_string(owner)] = 1000 + static_cast<std::int64_t>(random.below(1700));
        }
        std::set<std::string> removed;
        std::int64_t lastRead = 0;
        for (std::int64_t time = 1000; time < 8000; time += 50) {
            if (returnsTwice && time == 2500) {
                store.returnFromCopy(2);
                for (auto& [key, when] : writtenAgainAt)
                    when = time + static_cast<std::int64_t>(random.below(1700));
            }
            for (const auto& [key, when] : writtenAgainAt) {
                if (when / 50 == time / 50)
                    store.write(key, "again");
            }
            if (random.below(2) == 0 || time >= lastRead + 200) {
                process.readStore(store, at(time));
                lastRead = time;
            }
            for (const auto& key : process.expire(at(time))) {
                CHECK(at(time) >= process.returnSeenAt() + RestoredRecords::restorationTime);
                CHECK(process.view().records().count(key) == 0);
                removed.insert(key);
            }
        }
        for (const auto& [key, when] : writtenAgainAt)
            CHECK(removed.count(key) == 0);
        for (std::size_t owner = 0; owner < owners; ++owner) {
            const auto key = "owner-" + std::to_string(owner);
            const bool isPresent = store.records().count(key) != 0;
            CHECK(isPresent || removed.count(key) != 0);
        }
    }
}

TEST(StoreEra, ARepeatedRevisionOfALaterEraIsAnotherOne)
{
    StoreView view;
    view.apply({ 10, true, { { "a", "old", 9, false }, { "b", "kept", 3, false } }, 1 });
    LONGS_EQUAL(0, view.apply({ 12, false, { { "a", "new", 11, false } }, 2 }).size()); // not from the position of this view
    STRCMP_EQUAL("old", view.records().at("a").value.c_str());
    const auto changed = view.apply({ 10, true, { { "a", "new", 9, false }, { "b", "kept", 3, false } }, 2 });
    LONGS_EQUAL(1, changed.size());
    STRCMP_EQUAL("new", view.records().at("a").value.c_str());
    CHECK(StorePosition({ 2, 10 }) == view.position());
    // The earlier era is over, however high its revisions.
    LONGS_EQUAL(0, view.apply({ 90, true, { { "a", "old", 80, false } }, 1 }).size());
    STRCMP_EQUAL("new", view.records().at("a").value.c_str());
    CHECK(view.updateSince({ 1, 10 }).isSnapshot);
    CHECK_FALSE(view.updateSince({ 2, 10 }).isSnapshot);
}

TEST(StoreEra, AStartThatLeavesDoesNotComeBackWithAnOlderCopy)
{
    UpstreamRegistry registry(Milliseconds(1000));
    registry.set(upstream("i-1", 1000));
    registry.set(upstream("i-1", 1000, UpstreamState::Draining), RegistrationSource::Owner, at(0));
    registry.set(upstream("i-1", 1000), RegistrationSource::RestoredCopy, at(100));
    LONGS_EQUAL(0, registry.usable("models").size());
    registry.remove("i-1", RegistrationEnd::Ended, at(200));
    registry.set(upstream("i-1", 1000), RegistrationSource::RestoredCopy, at(300));
    LONGS_EQUAL(0, registry.usable("models").size());
    registry.expire(at(60000));
    LONGS_EQUAL(0, registry.usable("models").size());
    registry.set(upstream("i-1", 2000), RegistrationSource::Owner, at(60000)); // a later start
    LONGS_EQUAL(1, registry.usable("models").size());
}

TEST(StoreEra, ARegistrationThatHadEndedIsUsedAgainOnlyIfItLasts)
{
    UpstreamRegistry registry(Milliseconds(1000));
    registry.set(upstream("i-1", 1000));
    registry.remove("i-1", RegistrationEnd::Ended, at(0));
    registry.expire(at(1000));
    registry.set(upstream("i-1", 1000), RegistrationSource::RestoredCopy, at(2000));
    LONGS_EQUAL(0, registry.usable("models").size());
    CHECK(registry.nextExpiry().has_value());
    CHECK(registry.expire(*registry.nextExpiry()));
    LONGS_EQUAL(1, registry.usable("models").size());
    // Its owner writing it again ends the doubt at once.
    registry.remove("i-1", RegistrationEnd::Ended, at(10000));
    registry.expire(at(11000));
    registry.set(upstream("i-1", 1000), RegistrationSource::RestoredCopy, at(12000));
    registry.set(upstream("i-1", 1000), RegistrationSource::Owner, at(12500));
    LONGS_EQUAL(1, registry.usable("models").size());
}

TEST(StoreEra, ARegistrationThatIsNotRestoredEndsWithoutAnotherGracePeriod)
{
    UpstreamRegistry registry(Milliseconds(1000));
    registry.set(upstream("i-1", 1000));
    registry.remove("i-1", RegistrationEnd::NotRestored, at(2000));
    LONGS_EQUAL(0, registry.usable("models").size());
}

TEST(StoreEra, AnUpstreamThatSaysThatItLeavesIsNotUsedAgain)
{
    UpstreamRegistry registry(Milliseconds(1000));
    registry.set(upstream("i-1", 1000));
    CHECK_FALSE(registry.recordLeaving("i-1", 900, at(0))); // an earlier start said so
    LONGS_EQUAL(1, registry.usable("models").size());
    CHECK(registry.recordLeaving("i-1", 1000, at(0)));
    CHECK_FALSE(registry.recordLeaving("i-1", 1000, at(1)));
    LONGS_EQUAL(0, registry.usable("models").size());
    auto renewed = upstream("i-1", 1000);
    renewed.slots = 5;
    registry.set(renewed, RegistrationSource::Owner, at(100)); // written before it left
    LONGS_EQUAL(0, registry.usable("models").size());
    registry.set(upstream("i-1", 2000), RegistrationSource::Owner, at(200));
    LONGS_EQUAL(1, registry.usable("models").size());
    // Learnt from a peer before the registration itself.
    registry.recordLeaving("i-2", 1500, at(300));
    registry.set(upstream("i-2", 1500), RegistrationSource::Owner, at(400));
    LONGS_EQUAL(1, registry.usable("models").size());
}
