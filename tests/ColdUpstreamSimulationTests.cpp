#include "EventSimulation.h"
#include "TestSupport.h"

#include <hyssopwick_requests.h>

using namespace hyssopwick;

namespace {

constexpr std::int64_t window = 1000;
constexpr std::int64_t comparisonPeriod = 400;
constexpr std::int64_t reportPeriod = 500;
constexpr std::int64_t coldTime = 3000;
constexpr std::int64_t warmUp = 12'000; // traffic begins later after a start of everything
constexpr std::int64_t engineRestartPeriod = 4000;
constexpr std::int64_t entryRestartPeriod = 700;
const std::string address = "10.0.0.1:80";

/// What happens to entries and their messages while they send to one engine that starts anew.
struct Trouble {
    unsigned lossPercent = 0; ///< of messages between entries and from the agent
    std::size_t camps = 1; ///< that hear each other only within; 0 for no entry hearing another
    bool isSplitLate = false; ///< the camps arise after the warm-up
    bool restartsEntries = false;
    bool changesMembers = false; ///< entries come and go, and others learn of that at different times
    bool startsWithEntries = false; ///< entries start with the engine, without a warm-up, and know few others at first
    bool isAgentSilent = false; ///< no entry hears the agent
    bool isSteady = false; ///< calls come at all times, not all at once after pauses in which places are not used
    std::int64_t maxDelay = 30; ///< of a call on its way, in milliseconds
};

/// Entries that send to one engine whenever they may, in virtual time.
class ColdFleet : private EventSimulation {
public:
    ColdFleet(std::uint64_t seed, std::size_t entries, double callsPerSecond, const Trouble& trouble)
        : EventSimulation(seed)
        , m_trouble(trouble)
        , m_callsPerSecond(callsPerSecond)
    {
        // Entries' clocks and starts differ.
        for (std::size_t number = 0; number < entries; ++number)
            m_entries.push_back({ create(number, between(0, trouble.startsWithEntries ? 300 : 3000)), number % std::max<std::size_t>(1, trouble.camps) });
    }

    void run(std::int64_t time)
    {
        const auto from = m_trouble.startsWithEntries ? 0 : warmUp;
        for (std::size_t number = 0; number < m_entries.size(); ++number) {
            m_entries[number].cold.recordRegistration(engine(), at(m_now), 0);
            m_entries[number].cold.completeFirstView();
            if (m_trouble.startsWithEntries)
                m_entries[number].cold.setEntries({ idOf(0), idOf(number / 2) }, at(m_now));
            schedule(m_trouble.startsWithEntries ? between(200, 1500) : 0, [this, number] { announceMembers(number); });
            schedule(from + between(1, 100), [this, number] { arrive(number); });
            schedule(between(0, comparisonPeriod), [this, number] { compare(number); });
        }
        report();
        schedule(from, [this] { restartEngine(); });
        if (m_trouble.restartsEntries || m_trouble.changesMembers)
            schedule(from, [this] { restartEntry(); });
        while (advance(from + time)) { }
    }

    // Calls that arrived at one start of the engine, in the second in which they were most.
    std::size_t mostCalls() const
    {
        std::size_t most = 0;
        for (const auto& [start, arrivals] : m_arrivals) {
            auto sorted = arrivals;
            std::sort(sorted.begin(), sorted.end());
            for (std::size_t first = 0, last = 0; last < sorted.size(); ++last) {
                while (sorted[first] + window <= sorted[last])
                    ++first;
                most = std::max(most, last - first + 1);
            }
        }
        return most;
    }

    std::size_t calls = 0;
    std::size_t refusedWithoutTime = 0;

private:
    struct Entry {
        ColdUpstreams cold;
        std::size_t camp;
        bool isAway = false;
        UnixMilliseconds knownStart = 0;
    };

    static std::string idOf(std::size_t entry) { return "entry-" + std::to_string(1000 + entry); }

    ColdUpstreams create(std::size_t number, std::int64_t age) const
    {
        ColdUpstreams cold(idOf(number), at(m_now) - Milliseconds(age));
        cold.setRules({ { "s", ColdRule { Milliseconds(coldTime), m_callsPerSecond, 1.5, 5, true } } });
        return cold;
    }

    Upstream engine() const
    {
        Upstream upstream;
        upstream.id = "i-" + std::to_string(m_start);
        upstream.service = "s";
        upstream.address = address;
        upstream.startedAt = m_start;
        upstream.coldLeft = Milliseconds(std::max<std::int64_t>(0, m_startedAt + coldTime - m_now));
        return upstream;
    }

    void announceMembers(std::size_t to)
    {
        std::vector<std::string> ids;
        for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
            if (!m_trouble.changesMembers || !m_entries[entry].isAway)
                ids.push_back(idOf(entry));
        }
        m_entries[to].cold.setEntries(ids, at(m_now));
    }

    bool arrives(std::size_t from, std::size_t to)
    {
        const bool isSplit = m_trouble.camps != 1 && (!m_trouble.isSplitLate || m_now >= warmUp);
        const bool isHeard = !isSplit || (m_trouble.camps != 0 && m_entries[from].camp == m_entries[to].camp);
        return isHeard && !m_entries[from].isAway && !m_entries[to].isAway && m_random.below(100) >= m_trouble.lossPercent;
    }

    void tell(std::size_t from, std::size_t to, ColdNotice notice)
    {
        if (from == to || !arrives(from, to))
            return;
        const auto delay = between(1, 8);
        notice.origin += Milliseconds(delay); // ages are measured at the sender
        schedule(delay, [this, from, to, notice] {
            if (m_entries[to].cold.merge(notice, at(m_now)))
                tell(to, from, m_entries[to].cold.originNotice(at(m_now)));
        });
    }

    void compare(std::size_t from)
    {
        const auto to = m_random.below(m_entries.size());
        for (const auto& notice : m_entries[from].cold.notices(at(m_now)))
            tell(from, to, notice);
        schedule(comparisonPeriod, [this, from] { compare(from); });
    }

    // The agent's updates.
    void report()
    {
        for (std::size_t number = 0; number < m_entries.size() && !m_trouble.isAgentSilent; ++number) {
            if (!m_entries[number].isAway && m_random.below(100) >= m_trouble.lossPercent)
                schedule(between(1, 30), [this, number, start = m_start] { recordReport(number, start); });
        }
        schedule(reportPeriod, [this] { report(); });
    }

    void recordReport(std::size_t number, UnixMilliseconds start)
    {
        EngineReport report;
        report.startedAt = start;
        m_entries[number].cold.recordReport(address, report, at(m_now));
    }

    void restartEngine()
    {
        ++m_start;
        m_startedAt = m_now;
        for (std::size_t number = 0; number < m_entries.size(); ++number)
            schedule(between(50, 900), [this, number, start = m_start] { learn(number, start); });
        schedule(engineRestartPeriod, [this] { restartEngine(); });
    }

    void learn(std::size_t number, UnixMilliseconds start)
    {
        auto& entry = m_entries[number];
        if (start != m_start || entry.isAway)
            return;
        entry.cold.recordRemoval("i-" + std::to_string(entry.knownStart), at(m_now));
        entry.cold.recordRegistration(engine(), at(m_now), 0);
        entry.knownStart = start;
        entry.cold.nextChange("i-" + std::to_string(start), at(m_now)); // entries ask for it at each change
    }

    void arrive(std::size_t number)
    {
        send(number);
        schedule(m_trouble.isSteady ? between(1, 100) : between(1, 50), [this, number] { arrive(number); });
    }

    void send(std::size_t number)
    {
        auto& entry = m_entries[number];
        constexpr std::int64_t burstPeriod = 2500;
        constexpr std::int64_t pause = 1200;
        if (!m_trouble.isSteady && (m_now - m_startedAt) % burstPeriod < pause)
            return;
        // A call to an earlier start is answered with 421 and does not count.
        if (entry.isAway || entry.knownStart != m_start)
            return;
        const auto id = "i-" + std::to_string(m_start);
        if (entry.cold.availableCalls(id, at(m_now)).value_or(1) == 0) {
            refusedWithoutTime += entry.cold.nextPlace(id, at(m_now)) <= at(m_now);
            return;
        }
        if (m_now >= m_startedAt + coldTime)
            return; // it is warm by now
        entry.cold.recordSend(id, at(m_now));
        ++calls;
        m_arrivals[m_start].push_back(m_now + between(1, m_trouble.maxDelay));
    }

    void restartEntry()
    {
        const auto number = m_random.below(m_entries.size());
        auto& entry = m_entries[number];
        entry.isAway = m_trouble.changesMembers && !entry.isAway;
        if (!entry.isAway) {
            entry.cold = create(number, 0);
            entry.cold.recordRegistration(engine(), at(m_now), 0); // in its first view
            entry.cold.completeFirstView();
            entry.knownStart = m_start;
            announceMembers(number);
        }
        if (m_trouble.changesMembers) {
            for (std::size_t to = 0; to < m_entries.size(); ++to)
                schedule(between(0, 1000), [this, to] { announceMembers(to); });
        }
        schedule(entryRestartPeriod, [this] { restartEntry(); });
    }

    Trouble m_trouble;
    double m_callsPerSecond;
    std::vector<Entry> m_entries;
    UnixMilliseconds m_start = 1;
    std::int64_t m_startedAt = -coldTime;
    std::map<UnixMilliseconds, std::vector<std::int64_t>> m_arrivals; // by start of the engine
};

}

TEST_GROUP(ColdUpstreamSimulation)
{
    static constexpr std::size_t manyEntries = 100; // with fewer seeds, for the time of the test

    // The platform's rule for any second.
    static double allowed(double callsPerSecond) { return callsPerSecond * 1.5 + 5; }

    void check(const Trouble& trouble, std::size_t entries, double callsPerSecond, std::uint64_t seed)
    {
        constexpr std::int64_t time = 24'000; // six starts of the engine
        ColdFleet fleet(seed, entries, callsPerSecond, trouble);
        fleet.run(time);
        const auto text = std::to_string(entries) + " entries, " + std::to_string(callsPerSecond) + "/s, seed " + std::to_string(seed);
        CHECK_COMPARE_TEXT(double(fleet.mostCalls()), <=, allowed(callsPerSecond), text.c_str());
        LONGS_EQUAL_TEXT(0, fleet.refusedWithoutTime, text.c_str());
        // The engine is cold for three quarters of the time, and known to entries after 0.5 s on average.
        constexpr double usableSeconds = double(time) / 1000 * 2.5 / 4;
        if (trouble.isSteady)
            CHECK_COMPARE_TEXT(double(fleet.calls), >=, callsPerSecond * usableSeconds / 2, text.c_str());
    }

    void checkAll(const Trouble& trouble)
    {
        for (const std::size_t entries : { 2, 18, 62, 360 }) {
            for (const double callsPerSecond : { 1.0, 5.0, 14.0, 40.0 }) {
                for (std::uint64_t seed = 1; seed <= (entries < manyEntries ? 4u : 2u); ++seed)
                    check(trouble, entries, callsPerSecond, seed);
            }
        }
    }
};

// Guards against entries that all find one empty engine at once, with places that they saved up.
TEST(ColdUpstreamSimulation, EntriesTogetherKeepTheRule) { checkAll({}); }

// Guards against places that nobody uses.
TEST(ColdUpstreamSimulation, AnEngineThatAllWantGetsHalfOfWhatItTakes)
{
    Trouble trouble;
    trouble.isSteady = true;
    checkAll(trouble);
}

TEST(ColdUpstreamSimulation, TheyKeepItWhenMessagesAreLost)
{
    Trouble trouble;
    trouble.lossPercent = 30;
    checkAll(trouble);
}

// Guards against origins of their own, with which places of several entries come together.
TEST(ColdUpstreamSimulation, TheyKeepItWhenNoneEverHearsAnother)
{
    Trouble trouble;
    trouble.camps = 0;
    checkAll(trouble);
}

// Guards against a part of the entries that takes over the places of those that it does not hear.
TEST(ColdUpstreamSimulation, TheyKeepItWhenFailureDomainsAreCutOff)
{
    Trouble trouble;
    trouble.camps = 3;
    trouble.isSplitLate = true;
    checkAll(trouble);
}

// Guards against two halves that each agreed on an origin.
TEST(ColdUpstreamSimulation, TheyKeepItWhenHalvesNeverHeardEachOther)
{
    Trouble trouble;
    trouble.camps = 2;
    checkAll(trouble);
}

// Guards against entries that forget the places that they used.
TEST(ColdUpstreamSimulation, TheyKeepItWhenEntriesRestart)
{
    Trouble trouble;
    trouble.restartsEntries = true;
    checkAll(trouble);
}

// Guards against different numbers of turns.
TEST(ColdUpstreamSimulation, TheyKeepItWhenEntriesComeAndGo)
{
    Trouble trouble;
    trouble.changesMembers = true;
    checkAll(trouble);
}

// Guards against a start of everything, before entries agree on an origin.
TEST(ColdUpstreamSimulation, TheyKeepItWhenTheyStartWithTheEngine)
{
    Trouble trouble;
    trouble.startsWithEntries = true;
    checkAll(trouble);
}

// Guards against an agent that cannot tell of the restart.
TEST(ColdUpstreamSimulation, TheyKeepItWhenTheAgentIsNotHeard)
{
    Trouble trouble;
    trouble.isAgentSilent = true;
    checkAll(trouble);
}

// Guards against calls that were sent in time and arrive together with later ones.
TEST(ColdUpstreamSimulation, TheyKeepItWhenCallsAreOnTheWayForLong)
{
    Trouble trouble;
    trouble.maxDelay = 250;
    checkAll(trouble);
}
