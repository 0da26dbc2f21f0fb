#include "ModelStore.h"

#include <algorithm>

using namespace hyssopwick;

namespace {

constexpr std::size_t pageSize = 3;

/// A process that reads the store in pages, watches it, or follows another one. \tparam Read  its read of all records
template <typename Read>
class PagedProcess {
public:
    void readStore(const ModelStore& store)
    {
        const auto era = store.position().era;
        if (m_read)
            return goOn(store);
        const auto changes = m_view.revision() == 0 || m_isReadNeeded ? std::nullopt : store.watch(m_view.revision());
        if (changes && era == m_view.position().era) {
            m_view.apply(*changes);
            return;
        }
        m_isReadNeeded = true;
        m_read.emplace();
        goOn(store);
    }

    void readPeer(const PagedProcess& peer)
    {
        if (peer.m_view.revision() != 0 && peer.m_view.position().era >= m_view.position().era)
            m_view.apply(peer.m_view.updateSince(m_view.position()));
    }

    void giveUpRead() { m_read.reset(); }

    const StoreView& view() const { return m_view; }

private:
    void goOn(const ModelStore& store)
    {
        if (!m_read->goOn(store))
            return giveUpRead();
        const auto snapshot = m_read->snapshot();
        if (!snapshot)
            return;
        m_view.apply(*snapshot);
        m_isReadNeeded = false;
        m_read.reset();
    }

    StoreView m_view;
    std::optional<Read> m_read;
    bool m_isReadNeeded = false;
};

/// A read as processes of earlier builds make it: what all pages brought, at the revision of the first one.
class FirstPageRead {
public:
    bool goOn(const ModelStore& store)
    {
        if (m_collected.revision == 0)
            m_collected = { store.position().revision, true, {}, store.position().era };
        if (m_collected.era != store.position().era)
            return false;
        const auto page = store.page(m_collected.records.empty() ? "" : m_collected.records.back().key, pageSize);
        m_collected.records.insert(m_collected.records.end(), page.records.begin(), page.records.end());
        m_isWhole = !page.hasMore;
        return true;
    }

    std::optional<ViewUpdate> snapshot() const { return m_isWhole ? std::optional<ViewUpdate>(m_collected) : std::nullopt; }

private:
    ViewUpdate m_collected;
    bool m_isWhole = false;
};

/// A read as this build makes it.
class WholeRead {
public:
    bool goOn(const ModelStore& store)
    {
        struct Visitor {
            SnapshotRead& read;
            const ModelStore& store;
            bool operator()(const SnapshotRead::PageNeeded& page) const { return read.addPage(store.page(page.after, pageSize), store.position().era).has_value(); }
            bool operator()(const SnapshotRead::ChangesNeeded& needed) const
            {
                const auto changes = store.watch(needed.revision);
                return changes && read.addChanges({ changes->records, false, changes->revision }, changes->era).has_value();
            }
            bool operator()(const SnapshotRead::Complete&) const { return true; }
        };
        return std::visit(Visitor { m_read, store }, m_read.next());
    }

    std::optional<ViewUpdate> snapshot()
    {
        return std::holds_alternative<SnapshotRead::Complete>(m_read.next()) ? std::optional<ViewUpdate>(m_read.takeSnapshot()) : std::nullopt;
    }

private:
    SnapshotRead m_read;
};

std::string drawnKey(RandomSource& random) { return std::string(1, static_cast<char>('a' + random.below(9))); }

// Writes, deletes, or changes the history of the store.
void changeStore(RandomSource& random, ModelStore& store)
{
    const auto kind = random.below(40);
    if (kind == 0)
        store.returnFromCopy(1 + random.below(6));
    else if (kind == 1)
        store.dropHistory();
    else if (kind < 12)
        store.erase(drawnKey(random));
    else
        store.write(drawnKey(random), std::to_string(store.position().revision));
}

// Draws an order of pages, changes, restarts, reads that are given up, and changes of source. At its end one process
// follows the store, and all others follow one another. Calls \p check with all processes after each step.
template <typename Process, typename Check>
void drawOrder(std::uint64_t seed, ModelStore& store, std::vector<Process>& processes, Check&& check)
{
    RandomSource random(seed);
    for (int step = 0; step < 80; ++step) {
        auto& process = processes[random.below(processes.size())];
        switch (random.below(8)) {
        case 0:
        case 1:
            changeStore(random, store);
            break;
        case 2:
            if (random.below(8) == 0)
                process = Process();
            else if (random.below(8) == 0)
                process.giveUpRead();
            break;
        case 3:
        case 4:
        case 5:
            process.readStore(store);
            break;
        default:
            process.readPeer(processes[random.below(processes.size())]);
        }
        check();
    }
    for (int read = 0; read < 8; ++read)
        processes.front().readStore(store);
    for (std::size_t follower = 1; follower < processes.size(); ++follower)
        processes[follower].readPeer(processes[random.below(follower)]);
}

template <typename Process>
std::size_t countDifferent(const ModelStore& store, const std::vector<Process>& processes)
{
    return static_cast<std::size_t>(std::count_if(processes.begin(), processes.end(), [&store](const Process& process) {
        return process.view().position() != store.position() || process.view().records() != store.records();
    }));
}

}

TEST_GROUP(StoreViewPages)
{
    static constexpr std::uint64_t seeds = 20000;
    static constexpr std::size_t processCount = 4;
};

// Guards against a record that a follower never gets: it came with a later page, and the follower was past the first
// page's revision when it began to follow the reader.
TEST(StoreViewPages, AFollowerGetsARecordThatCameWithALaterPage)
{
    StoreView reader;
    reader.apply({ 10, true, { { "node", "1", 5, false }, { "configuration", "new", 12, false } } }); // its first page was read at revision 10
    StoreView follower;
    follower.apply({ 11, true, { { "node", "1", 5, false }, { "configuration", "old", 3, false } } });
    reader.apply({ 12, false, { { "configuration", "new", 12, false } } });
    follower.apply(reader.updateSince(follower.position()));
    LONGS_EQUAL(12, follower.revision());
    STRCMP_EQUAL("new", follower.records().at("configuration").value.c_str());
}

// Guards against a deletion that a follower never gets, since the view stores a limited number of them.
TEST(StoreViewPages, AFollowerThatLacksAnOldDeletionGetsAllRecords)
{
    constexpr std::uint64_t begin = 10;
    constexpr std::uint64_t deletions = 1000;
    StoreView view;
    view.apply({ begin, true, { { "kept", "1", 5, false } } });
    StoreView early = view;
    early.apply({ begin + 1, false, { { "0", "1", begin + 1, false } } });
    StoreView late;
    for (std::uint64_t i = 0; i < deletions; ++i) {
        const auto written = begin + 2 * i + 1;
        view.apply({ written, false, { { std::to_string(i), "1", written, false } } });
        if (i == deletions - 1)
            late = view;
        view.apply({ written + 1, false, { { std::to_string(i), "", written + 1, true } } });
    }
    CHECK(view.updateSince(early.position()).isSnapshot);
    CHECK_FALSE(view.updateSince(late.position()).isSnapshot);
    LONGS_EQUAL(1, view.updateSince(late.position()).records.size());
    for (auto* follower : { &early, &late }) {
        follower->apply(view.updateSince(follower->position()));
        CHECK(follower->records() == view.records());
        CHECK(follower->contentDigest() == view.contentDigest());
    }
}

// Guards against the same loss in any order of pages, writes, deletions, eras and sources.
TEST(StoreViewPages, ViewsThatWereReadInPagesEndEqualToTheStore)
{
    std::size_t different = 0;
    for (std::uint64_t seed = 0; seed < seeds; ++seed) {
        ModelStore store;
        std::vector<PagedProcess<FirstPageRead>> processes(processCount);
        drawOrder(seed, store, processes, [] {});
        different += countDifferent(store, processes);
    }
    LONGS_EQUAL(0, different);
}

// Guards against a view that holds records from after its position, so that others at the same position differ from it.
TEST(StoreViewPages, ASnapshotThatWasReadInPagesHoldsOnePositionOfTheStore)
{
    std::size_t different = 0;
    for (std::uint64_t seed = 0; seed < seeds; ++seed) {
        ModelStore store;
        std::vector<PagedProcess<WholeRead>> processes(processCount);
        drawOrder(seed, store, processes, [&] {
            for (const auto& process : processes)
                different += process.view().revision() != 0 && process.view().records() != store.recordsAt(process.view().position());
        });
        different += countDifferent(store, processes);
    }
    LONGS_EQUAL(0, different);
}

TEST(StoreViewPages, PagesOfOneRevisionAreASnapshot)
{
    SnapshotRead read;
    CHECK(std::get<SnapshotRead::PageNeeded>(read.next()).after.empty());
    CHECK(read.addPage({ { { "a", "1", 5, false } }, true, 7 }, 1).has_value());
    STRCMP_EQUAL("a", std::get<SnapshotRead::PageNeeded>(read.next()).after.c_str());
    CHECK(read.addPage({ { { "b", "1", 6, false } }, false, 7 }, 1).has_value());
    CHECK(std::holds_alternative<SnapshotRead::Complete>(read.next()));
    CHECK(read.takeSnapshot() == ViewUpdate({ 7, true, { { "a", "1", 5, false }, { "b", "1", 6, false } }, 1 }));
}

// Changes may come in several answers, and delete what a page brought.
TEST(StoreViewPages, AReadGoesOnUntilAllChangesSinceItsFirstPageAreKnown)
{
    SnapshotRead read;
    CHECK(read.addPage({ { { "a", "1", 5, false }, { "b", "1", 6, false } }, true, 7 }, 1).has_value());
    CHECK(read.addPage({ { { "c", "2", 9, false } }, false, 10 }, 1).has_value());
    LONGS_EQUAL(7, std::get<SnapshotRead::ChangesNeeded>(read.next()).revision);
    CHECK(read.addChanges({ { { "a", "", 8, true }, { "c", "2", 9, false } }, false, 9 }, 1).has_value());
    LONGS_EQUAL(9, std::get<SnapshotRead::ChangesNeeded>(read.next()).revision);
    CHECK(read.addChanges({ { { "b", "2", 10, false }, { "a", "3", 11, false } }, false, 11 }, 1).has_value());
    CHECK(std::holds_alternative<SnapshotRead::Complete>(read.next()));
    CHECK(read.takeSnapshot() == ViewUpdate({ 11, true, { { "a", "3", 11, false }, { "b", "2", 10, false }, { "c", "2", 9, false } }, 1 }));
}

TEST(StoreViewPages, AReadThatCannotGoOnFails)
{
    SnapshotRead read;
    CHECK_FALSE(read.addPage({ {}, true, 7 }, 1).has_value()); // would be asked for again and again
    CHECK(read.addPage({ { { "b", "1", 5, false } }, true, 7 }, 1).has_value());
    CHECK_FALSE(read.addPage({ { { "a", "1", 5, false } }, true, 7 }, 1).has_value());
    CHECK_FALSE(read.addPage({ { { "c", "1", 5, false } }, false, 7 }, 2).has_value()); // the store came back from a copy
    CHECK(read.addPage({ { { "c", "1", 5, false } }, false, 8 }, 1).has_value());
    CHECK_FALSE(read.addChanges({ {}, false, 7 }, 1).has_value());
    CHECK_FALSE(read.addChanges({ {}, false, 8 }, 2).has_value());
    CHECK(read.addChanges({ {}, false, 8 }, 1).has_value());
    CHECK(std::holds_alternative<SnapshotRead::Complete>(read.next()));
}
