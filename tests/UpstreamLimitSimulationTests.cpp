#include "EventSimulation.h"
#include "TestSupport.h"

#include <cmath>
#include <hyssopwick_requests.h>

using namespace hyssopwick;

namespace {

constexpr std::int64_t runTime = 40'000;
constexpr std::int64_t window = 4000;
constexpr std::int64_t contactTime = 3000; // after which the limit holds, and an entry that was away is back
constexpr std::int64_t toldTime = 500; // after which an entry's calls count once it was told
constexpr std::int64_t comparisonPeriod = 400;
constexpr std::int64_t troublePeriod = 3000;
const std::string limited = "i-1";

/// What happens to entries and their messages.
enum class Trouble {
    None,
    LostMessages, ///< a tenth of them
    Deafness, ///< no entry ever hears another one
    Changes, ///< entries come and go, and learn of that at different times
    OtherLimits, ///< the limit changes between its value and half of it
};

/// Entries that send to one limited upstream whenever they may, in virtual time.
class LimitedFleet : private EventSimulation {
public:
    LimitedFleet(std::uint64_t seed, std::size_t entries, double limit, Trouble trouble)
        : EventSimulation(seed)
        , m_limit(limit)
        , m_otherLimit(limit / 2)
        , m_trouble(trouble)
    {
        for (std::size_t entry = 0; entry < entries; ++entry)
            m_entries.emplace_back(UpstreamLimits(idOf(entry)));
        for (std::size_t entry = 0; entry < entries; ++entry)
            announceMembers(entry);
    }

    void run()
    {
        for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
            arrive(entry);
            schedule(between(0, comparisonPeriod), [this, entry] { compare(entry); });
        }
        schedule(troublePeriod, [this] { makeTrouble(); });
        while (advance(runTime)) { }
    }

    // Calls of entries that had been told, in the window in which they were most.
    std::size_t mostCalls() const
    {
        std::size_t most = 0;
        for (std::size_t first = 0, last = 0; last < m_calls.size(); ++last) {
            while (m_calls[first] + window <= m_calls[last])
                ++first;
            most = std::max(most, last - first + 1);
        }
        return most;
    }

    std::size_t calls = 0; // of all entries, while the limit holds
    std::size_t refusedWithoutTime = 0;

private:
    struct Entry {
        explicit Entry(UpstreamLimits initial)
            : limits(std::move(initial))
        {
        }
        UpstreamLimits limits;
        std::optional<std::int64_t> toldAt;
        std::int64_t inTouchFrom = 0;
        bool isAway = false;
    };

    static std::string idOf(std::size_t entry) { return "entry-" + std::to_string(100 + entry); }

    void announceMembers(std::size_t to)
    {
        std::vector<std::string> ids;
        for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
            if (m_trouble != Trouble::Changes || !m_entries[entry].isAway || entry % 2 == 0) // others stay known
                ids.push_back(idOf(entry));
        }
        m_entries[to].limits.setEntries(ids, at(m_now));
    }

    void arrive(std::size_t entry)
    {
        schedule(between(1, 100), [this, entry] {
            send(entry);
            arrive(entry);
        });
    }

    void send(std::size_t number)
    {
        auto& entry = m_entries[number];
        if (entry.isAway)
            return;
        if (entry.limits.availableCalls(limited, at(m_now)).value_or(1) == 0) {
            refusedWithoutTime += entry.limits.nextPlace(limited, at(m_now)) <= at(m_now);
            return;
        }
        entry.limits.recordSend(limited, at(m_now));
        calls += m_now >= contactTime;
        const bool isCounted = entry.toldAt && *entry.toldAt + toldTime < m_now && m_now >= contactTime && m_now >= entry.inTouchFrom;
        if (isCounted)
            m_calls.push_back(m_now);
        schedule(between(20, 300), [this, number, sentAt = m_now] { answer(number, sentAt); });
    }

    void answer(std::size_t number, std::int64_t sentAt)
    {
        auto& entry = m_entries[number];
        entry.toldAt = entry.toldAt.value_or(m_now);
        const auto told = entry.limits.recordAnswer(limited, m_limit, at(sentAt), at(m_now));
        if (!told)
            return;
        for (std::size_t to = 0; to < m_entries.size(); ++to) {
            if (to != number && arrives(to))
                deliver(to, *told);
        }
    }

    bool arrives(std::size_t to)
    {
        if (m_trouble == Trouble::Deafness || m_entries[to].isAway)
            return false;
        return m_trouble != Trouble::LostMessages || m_random.below(10) != 0;
    }

    void deliver(std::size_t to, UpstreamLimit limit)
    {
        const auto delay = between(1, 4);
        limit.origin += Milliseconds(delay); // ages are measured at the sender
        limit.namedAt += Milliseconds(delay);
        schedule(delay, [this, to, limit] { m_entries[to].limits.merge(limit, at(m_now)); });
    }

    void compare(std::size_t from)
    {
        const auto to = m_random.below(m_entries.size());
        if (to != from && !m_entries[from].isAway && arrives(to)) {
            for (const auto& limit : m_entries[from].limits.known())
                deliver(to, limit);
        }
        schedule(comparisonPeriod, [this, from] { compare(from); });
    }

    void makeTrouble()
    {
        if (m_trouble == Trouble::OtherLimits)
            std::swap(m_limit, m_otherLimit);
        if (m_trouble == Trouble::Changes) {
            const auto number = m_random.below(m_entries.size());
            auto& entry = m_entries[number];
            entry.isAway = !entry.isAway;
            if (!entry.isAway) {
                entry.limits = UpstreamLimits(idOf(number));
                entry.toldAt.reset();
                entry.inTouchFrom = m_now + contactTime;
            }
            for (std::size_t to = 0; to < m_entries.size(); ++to)
                schedule(between(0, 1000), [this, to] { announceMembers(to); });
        }
        schedule(troublePeriod, [this] { makeTrouble(); });
    }

    double m_limit;
    double m_otherLimit;
    Trouble m_trouble;
    std::vector<Entry> m_entries;
    std::vector<std::int64_t> m_calls; // that count
};

}

TEST_GROUP(UpstreamLimitSimulation)
{
    static constexpr std::uint64_t seeds = 4;

    // Rule LIMIT of the platform.
    static double allowed(double limit) { return 1.5 * double(window) / 1000 * limit + 5; }

    void checkWindows(Trouble trouble, std::size_t entries, double limit)
    {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            LimitedFleet fleet(seed, entries, limit, trouble);
            fleet.run();
            const auto text = std::to_string(entries) + " entries, limit " + std::to_string(limit) + ", seed " + std::to_string(seed);
            CHECK_COMPARE_TEXT(double(fleet.mostCalls()), <=, allowed(limit), text.c_str());
            LONGS_EQUAL_TEXT(0, fleet.refusedWithoutTime, text.c_str());
            if (trouble == Trouble::None) // half of the places are used at least
                CHECK_COMPARE_TEXT(double(fleet.calls), >=, limit * double(runTime - contactTime) / 1000 / 2, text.c_str());
        }
    }

    void checkAll(Trouble trouble)
    {
        for (const std::size_t entries : { 2, 6, 18, 99 }) {
            for (const double limit : { 0.2, 1.0, 1.7, 3.0, 7.0, 40.0 })
                checkWindows(trouble, entries, limit);
        }
    }
};

TEST(UpstreamLimitSimulation, EntriesTogetherKeepALimit) { checkAll(Trouble::None); }
TEST(UpstreamLimitSimulation, TheyKeepItWhenMessagesAreLost) { checkAll(Trouble::LostMessages); }
TEST(UpstreamLimitSimulation, TheyKeepItWhenNoneHearsAnother) { checkAll(Trouble::Deafness); }
TEST(UpstreamLimitSimulation, TheyKeepItWhenEntriesComeAndGo) { checkAll(Trouble::Changes); }

TEST(UpstreamLimitSimulation, TheyFollowALimitThatChanges) { checkAll(Trouble::OtherLimits); }
