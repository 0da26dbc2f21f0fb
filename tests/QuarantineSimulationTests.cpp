#include "EventSimulation.h"
#include "TestSupport.h"

#include <cmath>
#include <hyssopwick_requests.h>
#include <set>

using namespace hyssopwick;
using Blocks = CrashQuarantine::Parts;
using Verdict = CrashQuarantine::Verdict;

namespace {

constexpr std::size_t entryCount = 18;
constexpr std::size_t engineCount = 24;
constexpr std::size_t engineCalls = 16;
constexpr unsigned maxUpstreams = 2;
constexpr double soundCallsPerSecond = 170;
constexpr std::int64_t warmUp = 2000;
constexpr std::int64_t maxCrashDelay = 300;
constexpr std::int64_t engineRestart = 4000;
constexpr std::int64_t crashesOfAllEvery = 5000;
constexpr std::int64_t lastCrash = 20'000; // ends a failing run
const std::string bad = "bad";

/// What engines do besides answering.
enum class Trouble {
    BadBlock, ///< crash on the block bad; their connections end at once
    SilentBadBlock, ///< crash on it before its first event; their connections stay open until an entry finds them down
    CrashesAtOnce, ///< a third of them crash at the same moment, again and again
};

struct Tally {
    unsigned calls = 0;
    unsigned refused = 0;
    double refusedShare() const { return calls == 0 ? 1 : double(refused) / calls; }
};

/// Entries and engines in virtual time. Each entry has a quarantine of its own.
class QuarantineFleet : private EventSimulation {
public:
    QuarantineFleet(std::uint64_t seed, Trouble trouble)
        : EventSimulation(seed)
        , m_crashingCallsPerSecond(2 + seed % 3)
        , m_trouble(trouble)
        , m_entries(entryCount)
        , m_engines(engineCount)
    {
    }

    // Runs for a time from the fifth crash on, or from the start when no block is bad.
    void run(std::int64_t length)
    {
        arrive(false, 0);
        if (m_trouble == Trouble::CrashesAtOnce)
            schedule(warmUp, [this] { crashThird(); });
        else
            arrive(true, warmUp);
        schedule(1000, [this] { expire(); });
        const bool isFromStart = m_trouble == Trouble::CrashesAtOnce;
        while (advance(isFromStart ? length : m_fifthCrash.value_or(lastCrash) + length)) { }
    }

    unsigned crashes = 0;
    unsigned badSentLate = 0; // to engines from 3 s after the fifth crash on
    unsigned soundWithoutEngine = 0;
    Tally sound; // from 6 s after the fifth crash on, or from the start
    Tally soundLikeBad; // of these, with the first and the second block of a call with a bad block
    std::map<std::string, unsigned> refusedBy; // sound calls, by the blocks quarantined then

private:
    struct Call {
        std::size_t entry = 0;
        Blocks blocks;
        bool isBad = false;
        unsigned attempts = 0;
        std::int64_t sentAt = 0;
        std::optional<std::int64_t> begunAt;
        bool isEnded = false;
        bool isCounted = false;
        bool isLikeBad = false;
    };
    using CallPointer = std::shared_ptr<Call>;

    struct Engine {
        std::vector<CallPointer> calls;
        std::int64_t downUntil = 0;
        std::uint64_t incarnation = 0;
    };

    // Poisson arrivals of sound calls, or of those with the bad block.
    void arrive(bool isBad, std::int64_t delay)
    {
        const auto rate = isBad ? m_crashingCallsPerSecond : soundCallsPerSecond;
        schedule(delay + static_cast<std::int64_t>(-std::log(1 - m_random.unit()) * 1000 / rate), [this, isBad] {
            start(isBad);
            arrive(isBad, 0);
        });
    }

    void start(bool isBad)
    {
        const auto call = std::make_shared<Call>();
        call->entry = m_random.below(entryCount);
        call->isBad = isBad;
        const auto route = std::to_string(m_random.below(3));
        const auto skewed = m_random.unit();
        call->blocks = { "first" + route + "-" + std::to_string(static_cast<int>(60 * skewed * skewed * skewed)) };
        if (isBad || m_random.unit() < 0.4)
            call->blocks.push_back("second" + route + "-" + std::to_string(m_random.below(4)));
        if (isBad) {
            m_badPairs.insert(call->blocks);
            call->blocks.push_back(bad);
        } else {
            const auto countFrom = m_trouble == Trouble::CrashesAtOnce ? warmUp : m_fifthCrash ? *m_fifthCrash + 6000
                                                                                               : m_now + 1;
            call->isCounted = m_now >= countFrom;
            call->isLikeBad = call->isCounted && m_badPairs.count(call->blocks) > 0;
            sound.calls += call->isCounted;
            soundLikeBad.calls += call->isLikeBad;
        }
        place(call);
    }

    void place(const CallPointer& call)
    {
        auto& quarantine = m_entries[call->entry];
        if (quarantine.verdict(call->blocks, at(m_now)) == Verdict::Refuse)
            return refuse(*call);
        std::vector<std::size_t> free;
        for (std::size_t number = 0; number < engineCount; ++number) {
            if (m_engines[number].downUntil <= m_now && m_engines[number].calls.size() < engineCalls)
                free.push_back(number);
        }
        if (free.empty()) {
            soundWithoutEngine += !call->isBad;
            return;
        }
        const auto rechecked = quarantine.recordRecheck(call->blocks, at(m_now));
        if (!rechecked.empty())
            tellOthers(call->entry, [this, rechecked](CrashQuarantine& other) { other.recordRecheck(rechecked, at(m_now)); });
        const auto number = free[m_random.below(free.size())];
        m_engines[number].calls.push_back(call);
        ++call->attempts;
        badSentLate += call->isBad && m_fifthCrash && m_now >= *m_fifthCrash + 3000;
        call->sentAt = m_now;
        call->begunAt.reset();
        whileRunning(call, number, between(50, 300), [this, call, number] { begin(call, number); });
    }

    void refuse(const Call& call)
    {
        if (call.isBad || !call.isCounted)
            return;
        ++sound.refused;
        soundLikeBad.refused += call.isLikeBad;
        for (const auto& block : call.blocks) {
            if (const auto rechecks = m_entries[call.entry].rechecks(block))
                ++refusedBy[block + "/" + std::to_string(*rechecks)];
        }
    }

    // Continues a call unless its engine crashes or ends it meanwhile.
    void whileRunning(const CallPointer& call, std::size_t number, std::int64_t delay, std::function<void()> action)
    {
        schedule(delay, [this, call, number, incarnation = m_engines[number].incarnation, action = std::move(action)] {
            if (m_engines[number].incarnation == incarnation && !call->isEnded)
                action();
        });
    }

    void begin(const CallPointer& call, std::size_t number)
    {
        if (call->isBad) {
            if (m_trouble == Trouble::BadBlock)
                call->begunAt = m_now;
            return whileRunning(call, number, between(60, 100), [this, number] { crash(number); });
        }
        call->begunAt = m_now;
        const auto length = between(200, 1600);
        if (length > maxCrashDelay)
            whileRunning(call, number, maxCrashDelay + 1, [this, call] { recordAnswered(*call); });
        whileRunning(call, number, length, [this, call, number] {
            call->isEnded = true;
            auto& calls = m_engines[number].calls;
            calls.erase(std::find(calls.begin(), calls.end(), call));
            recordAnswered(*call);
        });
    }

    void recordAnswered(const Call& call)
    {
        const auto begunAt = *call.begunAt;
        const auto cleared = m_entries[call.entry].recordAnswered(call.blocks, at(begunAt));
        if (!cleared.suspected.empty())
            tellOthers(call.entry, [suspected = cleared.suspected, begunAt](CrashQuarantine& other) { other.recordAnswered(suspected, at(begunAt)); });
    }

    void crashThird()
    {
        for (std::size_t number = 0; number < engineCount / 3; ++number)
            schedule(between(0, 20), [this, engine = (m_firstOfThird + number) % engineCount] { crash(engine); });
        m_firstOfThird = m_random.below(engineCount);
        schedule(crashesOfAllEvery, [this] { crashThird(); });
    }

    void crash(std::size_t number)
    {
        if (++crashes == 5)
            m_fifthCrash = m_now;
        auto& engine = m_engines[number];
        ++engine.incarnation;
        engine.downUntil = m_now + engineRestart;
        const auto calls = std::move(engine.calls);
        engine.calls.clear();
        std::array<std::int64_t, entryCount> delays;
        for (auto& delay : delays)
            delay = between(100, 400);
        for (const auto& call : calls) {
            const auto delay = delays[call->entry];
            const bool isSilent = m_trouble == Trouble::SilentBadBlock;
            const auto lostAt = isSilent ? m_now + delay : m_now;
            const bool mayJustHaveBegun = !call->begunAt || *call->begunAt + maxCrashDelay >= lostAt;
            if (mayJustHaveBegun)
                schedule(delay, [this, entry = call->entry, blocks = call->blocks, sentAt = call->sentAt, lostAt] { recordCrash(entry, blocks, sentAt, lostAt); });
            // After the report, so that a silent loss is known before its call is placed again.
            if (call->attempts < maxUpstreams)
                schedule(isSilent ? delay : 1, [this, call] { place(call); });
        }
    }

    void recordCrash(std::size_t entry, const Blocks& blocks, std::int64_t sentAt, std::int64_t lostAt)
    {
        m_entries[entry].recordCrash(blocks, at(sentAt), at(lostAt), at(m_now));
        tellOthers(entry, [this, blocks, sentAt, lostAt](CrashQuarantine& other) { other.recordCrash(blocks, at(sentAt), at(lostAt), at(m_now)); });
    }

    // Tells the other entries by datagrams, of which some are lost.
    void tellOthers(std::size_t sender, const std::function<void(CrashQuarantine&)>& message)
    {
        for (std::size_t entry = 0; entry < entryCount; ++entry) {
            if (entry != sender && m_random.below(100) != 0)
                schedule(between(2, 10), [this, entry, message] { message(m_entries[entry]); });
        }
    }

    void expire()
    {
        for (auto& entry : m_entries)
            entry.expire(at(m_now));
        schedule(1000, [this] { expire(); });
    }

    double m_crashingCallsPerSecond;
    Trouble m_trouble;
    std::vector<CrashQuarantine> m_entries;
    std::vector<Engine> m_engines;
    std::optional<std::int64_t> m_fifthCrash;
    std::set<Blocks> m_badPairs;
    std::size_t m_firstOfThird = 0;
};

constexpr std::uint64_t seeds = 24;

std::string describe(std::uint64_t seed, const QuarantineFleet& fleet)
{
    auto text = "seed " + std::to_string(seed) + ": " + std::to_string(fleet.crashes) + " crashes, " + std::to_string(fleet.badSentLate) + " late; sound " + std::to_string(fleet.sound.refused) + "/" + std::to_string(fleet.sound.calls) + ", like bad " + std::to_string(fleet.soundLikeBad.refused) + "/" + std::to_string(fleet.soundLikeBad.calls) + ", no engine " + std::to_string(fleet.soundWithoutEngine) + "; refused by";
    for (const auto& [block, count] : fleet.refusedBy)
        text += " " + block + ":" + std::to_string(count);
    return text;
}

void checkBadBlockIsContained(Trouble trouble)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        QuarantineFleet fleet(seed, trouble);
        fleet.run(43'000);
        const auto text = describe(seed, fleet);
        CHECK_TEXT(fleet.crashes >= 5, text.c_str());
        CHECK_TEXT(fleet.badSentLate <= 3, text.c_str());
        CHECK_TEXT(fleet.sound.refusedShare() <= 0.05, text.c_str());
        CHECK_TEXT(fleet.soundLikeBad.refusedShare() <= 0.05, text.c_str());
    }
}

}

TEST_GROUP(QuarantineSimulation) {};

// Crashing calls may share everything but one block with sound ones, and come at any entry.
TEST(QuarantineSimulation, ABadBlockIsContainedAndSoundCallsAreServed)
{
    checkBadBlockIsContained(Trouble::BadBlock);
}

TEST(QuarantineSimulation, ABadBlockIsContainedWhenEnginesCrashSilently)
{
    checkBadBlockIsContained(Trouble::SilentBadBlock);
}

TEST(QuarantineSimulation, EnginesThatCrashAtOnceForAnotherReasonRefuseFewCalls)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        QuarantineFleet fleet(seed, Trouble::CrashesAtOnce);
        fleet.run(60'000);
        const auto text = describe(seed, fleet);
        CHECK_TEXT(fleet.sound.refusedShare() < 0.01, text.c_str());
    }
}
