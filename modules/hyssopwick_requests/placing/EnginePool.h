#pragma once

#include <deque>
#include <hyssopwick_deployment.h>
#include <map>
#include <optional>
#include <set>

namespace hyssopwick {

/// What a call asks of an engine.
struct CallSize {
    double promptTokens = 0;
    double answerTokens = 0;

    auto tied() const { return std::tie(promptTokens, answerTokens); }
    bool operator==(const CallSize& other) const { return tied() == other.tied(); }
    bool operator!=(const CallSize& other) const { return !(*this == other); }
};

/// When an engine is expected to answer a call that is sent now.
struct EnginePrediction {
    double firstEventMilliseconds = 0;
    double endMilliseconds = 0;
    double pendingPromptTokens = 0; ///< prompt tokens that are read before the call's
};

/// The engine to send a call to.
struct EngineChoice {
    std::string upstream;
    EnginePrediction prediction;
};

/// The engines of one service as one entry VM knows them: their own reports, corrected
/// by what this entry has sent since. Answers the load of a pool that many entries share
/// without a common queue: each draws a few engines and takes the one that is expected
/// to write the call's first event soonest, so that entries with the same reports do not
/// all choose the same engine. Pure.
class EnginePool {
public:
    explicit EnginePool(std::uint64_t seed);

    void setSpeed(const EngineSpeed& speed) { m_speed = speed; }
    const EngineSpeed& speed() const { return m_speed; }

    /// Replaces the engines that may be sent calls.
    void setEngines(const std::set<std::string>& upstreams);

    /// Sets the engines that will leave service for a while soon, to load newer weights, and
    /// until when calls may begin on what they hold.
    void setReloadingSoon(std::map<std::string, TimePoint> upstreams) { m_leavingSoon = std::move(upstreams); }

    /// Sets the engines that stand in another region than this entry.
    void setRemoteEngines(const std::set<std::string>& upstreams) { m_remote = upstreams; }

    /// Records what an engine reported at \p reportedAt.
    void recordReport(const std::string& upstream, const EngineReport& report, TimePoint reportedAt);

    /// Records that a call was sent.
    void recordSend(const std::string& upstream, std::uint64_t call, const CallSize& size, TimePoint now);
    /// Records the first event of a call.
    void recordFirstEvent(std::uint64_t call);
    /// Records the end of a call, however it ended.
    void recordEnd(std::uint64_t call, TimePoint now);

    /// Predicts a call on one engine.
    EnginePrediction predict(const std::string& upstream, const CallSize& size, TimePoint now) const;

    /// Predicts a call on an engine that runs nothing.
    EnginePrediction predictIdle(const CallSize& size) const;

    /// Returns how many usual calls all engines together can take in a millisecond.
    double callsPerMillisecond() const;

    /// Returns how many usual calls one healthy engine can take in a millisecond.
    double callsPerMillisecondPerEngine() const { return 1 / slotPeriod(m_speed.slots); }

    /// Sets how many entries send to these engines.
    void setEntryCount(std::size_t entries) { m_fleetSize = entries; }

    /// Chooses an engine that is expected to begin the call in time, or nothing when there is none.
    /// \param excluded  engines that the call was sent to before; such a call may not
    ///                  be moved again, and avoids engines that leave service soon
    /// \param isContended  calls wait for engines: every entry would send to an engine
    ///                     as soon as its report shows room, so each takes only its share
    ///                     of that room, by lot
    std::optional<EngineChoice> choose(const CallSize& size, const std::set<std::string>& excluded, TimePoint now, bool isContended = false);

    bool isEmpty() const { return m_engines.empty(); }

    /// Returns how many engines may be sent calls.
    std::size_t size() const { return m_engines.size(); }

private:
    struct SentCall {
        std::string upstream;
        CallSize size;
        TimePoint sentAt;
        bool hasBegun = false;
    };

    struct Engine {
        EngineReport report;
        TimePoint reportedAt;
        bool hasReport = false;
        std::set<std::uint64_t> calls; // own calls that have not ended
        unsigned endedSinceReport = 0;
        double turns = 0; // calls that this entry may send before the next report, when calls wait
    };

    struct Load {
        double running = 0;
        double waiting = 0;
        double pendingPromptTokens = 0;
    };

    double room(const Engine& engine, TimePoint now) const;
    std::vector<std::string> sample(const std::set<std::string>& excluded, bool isContended);
    Load loadOf(const Engine& engine, TimePoint now) const;
    EnginePrediction predictWith(const Load& load, double slowdownFactor, const CallSize& size) const;
    double stepMilliseconds(double running) const;
    double slotPeriod(double running) const;

    EngineSpeed m_speed;
    RandomSource m_random;
    std::map<std::string, Engine> m_engines;
    std::map<std::string, TimePoint> m_leavingSoon;
    std::set<std::string> m_remote;
    std::map<std::uint64_t, SentCall> m_calls;
    std::size_t m_fleetSize = 1;
    std::deque<TimePoint> m_recentSends; // of this entry, to all engines
};

}
