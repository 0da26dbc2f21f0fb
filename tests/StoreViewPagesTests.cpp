#include "TestSupport.h"

#include <algorithm>
#include <hyssopwick_deployment.h>

using namespace hyssopwick;

namespace {

/// The store, which is read page by page. Pages are no snapshot: each holds its records as they are when it is read.
class PagedStore {
public:
    static constexpr std::size_t pageSize = 3;

    void write(const std::string& key) { change({ key, "value " + std::to_string(m_position.revision + 1), m_position.revision + 1, false }); }

    void erase(const std::string& key)
    {
        if (m_records.count(key) != 0)
            change({ key, "", m_position.revision + 1, true });
    }

    /// Comes back in a new era from a copy that lacks the last \p changes changes.
    void returnFromCopy(std::size_t changes)
    {
        for (std::size_t i = 0; i < changes && !m_history.empty(); ++i)
            m_history.pop_back();
        m_position = { m_position.era + 1, m_history.empty() ? 1 : m_history.back().revision };
        m_records.clear();
        for (const auto& record : m_history)
            applyTo(m_records, record);
        m_states[m_position] = m_records;
    }

    void dropHistory() { m_historyAfter = m_position.revision; }

    StorePage page(const std::string& after) const
    {
        StorePage page;
        page.revision = m_position.revision;
        for (auto record = m_records.upper_bound(after); record != m_records.end(); ++record) {
            if (page.records.size() == pageSize) {
                page.hasMore = true;
                break;
            }
            page.records.push_back(record->second);
        }
        return page;
    }

    /// Returns the changes after a revision, or nothing if the store does not have that history.
    std::optional<StorePage> changesAfter(std::uint64_t revision) const
    {
        if (revision > m_position.revision || revision < m_historyAfter)
            return std::nullopt;
        StorePage changes;
        changes.revision = m_position.revision;
        for (const auto& record : m_history) {
            if (record.revision > revision)
                changes.records.push_back(record);
        }
        return changes;
    }

    const StorePosition& position() const { return m_position; }

    const std::map<std::string, StoreRecord>& records() const { return m_records; }

    /// Returns the records at any position that the store ever had.
    const std::map<std::string, StoreRecord>& recordsAt(const StorePosition& position) const { return m_states.at(position); }

private:
    static void applyTo(std::map<std::string, StoreRecord>& records, const StoreRecord& record)
    {
        if (record.isDeleted)
            records.erase(record.key);
        else
            records[record.key] = record;
    }

    void change(const StoreRecord& record)
    {
        m_position.revision = record.revision;
        m_history.push_back(record);
        applyTo(m_records, record);
        m_states[m_position] = m_records;
    }

    StorePosition m_position { 1, 1 };
    std::map<std::string, StoreRecord> m_records;
    std::vector<StoreRecord> m_history; // of this era
    std::uint64_t m_historyAfter = 0;
    std::map<StorePosition, std::map<std::string, StoreRecord>> m_states { { { 1, 1 }, {} } };
};

/// A process that reads the store in pages, watches it, or follows another one. \tparam Read  its read of all records
template <typename Read>
class PagedProcess {
public:
    void readStore(const PagedStore& store)
    {
        const auto era = store.position().era;
        if (m_read)
            return goOn(store);
        const auto changes = m_view.revision() == 0 || m_isReadNeeded ? std::nullopt : store.changesAfter(m_view.revision());
        if (changes && era == m_view.position().era) {
            m_view.apply({ changes->revision, false, changes->records, era });
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
    void goOn(const PagedStore& store)
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
    bool goOn(const PagedStore& store)
    {
        if (m_collected.revision == 0)
            m_collected = { store.position().revision, true, {}, store.position().era };
        if (m_collected.era != store.position().era)
            return false;
        const auto page = store.page(m_collected.records.empty() ? "" : m_collected.records.back().key);
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
    bool goOn(const PagedStore& store)
    {
        struct Visitor {
            SnapshotRead& read;
            const PagedStore& store;
            bool operator()(const SnapshotRead::PageNeeded& page) const { return read.addPage(store.page(page.after), store.position().era).has_value(); }
            bool operator()(const SnapshotRead::ChangesNeeded& needed) const
            {
                const auto changes = store.changesAfter(needed.revision);
                return changes && read.addChanges(*changes, store.position().era).has_value();
            }
            bool operator()(const ViewUpdate&) const { return true; }
        };
        return std::visit(Visitor { m_read, store }, m_read.next());
    }

    std::optional<ViewUpdate> snapshot() const
    {
        const auto next = m_read.next();
        const auto* snapshot = std::get_if<ViewUpdate>(&next);
        return snapshot ? std::optional<ViewUpdate>(*snapshot) : std::nullopt;
    }

private:
    SnapshotRead m_read;
};

std::string drawnKey(RandomSource& random) { return std::string(1, static_cast<char>('a' + random.below(9))); }

// Writes, deletes, or changes the history of the store.
void changeStore(RandomSource& random, PagedStore& store)
{
    const auto kind = random.below(40);
    if (kind == 0)
        store.returnFromCopy(1 + random.below(6));
    else if (kind == 1)
        store.dropHistory();
    else if (kind < 12)
        store.erase(drawnKey(random));
    else
        store.write(drawnKey(random));
}

// Draws an order of pages, changes, restarts, reads that are given up, and changes of source. At its end one process
// follows the store, and all others follow one another. Calls \p check with all processes after each step.
template <typename Process, typename Check>
void drawOrder(std::uint64_t seed, PagedStore& store, std::vector<Process>& processes, Check&& check)
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
std::size_t countDifferent(const PagedStore& store, const std::vector<Process>& processes)
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
        PagedStore store;
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
        PagedStore store;
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
    CHECK(std::get<ViewUpdate>(read.next()) == ViewUpdate({ 7, true, { { "a", "1", 5, false }, { "b", "1", 6, false } }, 1 }));
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
    CHECK(std::get<ViewUpdate>(read.next()) == ViewUpdate({ 11, true, { { "a", "3", 11, false }, { "b", "2", 10, false }, { "c", "2", 9, false } }, 1 }));
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
    CHECK(std::holds_alternative<ViewUpdate>(read.next()));
}
