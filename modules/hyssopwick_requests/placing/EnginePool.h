#pragma once

#include "EngineShares.h"

#include <deque>
#include <hyssopwick_deployment.h>
#include <map>
#include <optional>
#include <set>

namespace hyssopwick {

/// Prompt and expected answer length of a call.
struct CallSize {
    double promptTokens = 0;
    double answerTokens = 0;

    auto tied() const { return std::tie(promptTokens, answerTokens); }
    bool operator==(const CallSize& other) const { return tied() == other.tied(); }
    bool operator!=(const CallSize& other) const { return !(*this == other); }
};

/// When an engine is predicted to answer a call that is sent now.
struct EnginePrediction {
    double firstEventMilliseconds = 0;
    double endMilliseconds = 0;
    double pendingPromptTokens = 0; ///< prompt tokens to process before those of the call
};

/// What an engine that limits its calls takes.
struct CallLimit {
    std::size_t callsLeft = 0; ///< that this entry may send now
    double callsPerMillisecond = 0; ///< of all entry VMs together
    std::optional<TimePoint> nextPlace {}; ///< when this entry has a place again, if that is known

    auto tied() const { return std::tie(callsLeft, callsPerMillisecond, nextPlace); }
    bool operator==(const CallLimit& other) const { return tied() == other.tied(); }
    bool operator!=(const CallLimit& other) const { return !(*this == other); }
};

/// The engine chosen for a call.
struct EngineChoice {
    std::string upstream;
    EnginePrediction prediction;
};

/// The engines of one service as one entry VM knows them: their reports, corrected by
/// what this entry has sent since. Made for a pool that many entries share without a
/// common queue: each entry compares a few random engines and chooses the one with the earliest
/// predicted first event, so that entries with the same reports do not all choose the
/// same engine. Pure.
class EnginePool {
public:
    explicit EnginePool(std::uint64_t seed);

    void setSpeed(const EngineSpeed& speed) { m_speed = speed; }
    const EngineSpeed& speed() const { return m_speed; }

    /// Replaces the engines that accept calls.
    void setEngines(const std::set<std::string>& upstreams);

    /// Sets the engines that will soon leave service to load newer weights, and until when calls may
    /// begin on the weights they hold.
    void setReloadingSoon(std::map<std::string, TimePoint> upstreams) { m_reloadingSoon = std::move(upstreams); }

    /// Sets the engines in other regions than this entry.
    void setRemoteEngines(const std::set<std::string>& upstreams) { m_remoteEngines = upstreams; }

    /// Sets the regions of the engines. Without it, calls with allowed regions have no engine.
    void setRegions(const std::map<std::string, std::string>& regions);

    /// Returns the regions that have engines.
    const std::set<std::string>& regions() const { return m_regions; }

    /// Sets the engines that take a limited number of calls, and when one of those without a place
    /// has one again, if that is known. Valid until the next call of this.
    void setCallLimits(std::map<std::string, CallLimit> limits, std::optional<TimePoint> nextPlace);

    /// Returns when an engine in the allowed regions takes a call: \p now, unless none has a place under its limit.
    TimePoint nextPlace(TimePoint now, const RegionSet& allowed = {}) const;

    /// \param statement  how the engine is divided, from the same message
    void recordReport(const std::string& upstream, const EngineReport& report, TimePoint reportedAt, const EngineStatement& statement = {});

    /// \param allowed  regions that the call may use
    void recordSend(const std::string& upstream, std::uint64_t call, const CallSize& size, TimePoint now, const RegionSet& allowed = {});
    void recordFirstEvent(std::uint64_t call);
    /// Records that a call ended, successfully or not.
    void recordEnd(std::uint64_t call, TimePoint now);

    EnginePrediction predict(const std::string& upstream, const CallSize& size, TimePoint now) const;

    /// Predicts a call on an engine without other calls.
    EnginePrediction predictIdle(const CallSize& size) const;

    /// Predicts a call that takes the last slot of an engine.
    EnginePrediction predictBusy(const CallSize& size) const;

    /// Returns how many typical calls per millisecond all engines in the allowed regions together can
    /// complete of this entry VM's share.
    double ownCallsPerMillisecond(TimePoint now, const RegionSet& allowed = {}) const;

    /// Returns the mean of this entry VM's shares of the engines.
    double meanShare(TimePoint now) const;

    /// Returns how long a call occupies an engine whose slots are all in use: its prefill and its
    /// part of the steps.
    double engineMilliseconds(const CallSize& size) const;

    /// Returns the engine time of a call, relative to a typical one.
    double relativeSize(const CallSize& size) const;

    /// Returns how many typical calls one healthy engine can complete per millisecond.
    double callsPerMillisecondPerEngine() const { return 1 / slotIntervalMilliseconds(m_speed.slots); }

    /// Returns how the engines are divided among the entry VMs.
    EngineShares& shares() { return m_shares; }
    const EngineShares& shares() const { return m_shares; }

    /// Chooses, from a few random engines, the one with the earliest predicted first event.
    /// Engines in other regions and those that reload soon get a penalty; those that reload
    /// before that event are left out, and those whose token memory the call exceeds. Returns nothing if no engine can take the call.
    /// \param excluded  engines to which the call was already sent; such a call avoids
    ///                  engines that reload soon, since it cannot be moved again
    /// \param isContended  calls wait for engines. All entries would send to an engine as
    ///                     soon as its report shows spare capacity, so each uses only its
    ///                     share of it, randomly rounded
    /// \param allowed  regions whose engines the call may use
    std::optional<EngineChoice> choose(const CallSize& size, const std::set<std::string>& excluded, TimePoint now, bool isContended = false, const RegionSet& allowed = {});

    /// Returns whether no engine is in the allowed regions.
    bool isEmpty(const RegionSet& allowed = {}) const;

    std::size_t size() const { return m_engines.size(); }

private:
    struct SentCall {
        std::string upstream;
        CallSize size;
        TimePoint sentAt;
        bool hasFirstEvent = false;
    };

    struct Engine {
        std::string region;
        EngineReport report;
        TimePoint reportedAt;
        bool hasReport = false;
        std::set<std::uint64_t> calls; // calls of this entry in progress
        unsigned endedSinceReport = 0;
        double sendAllowance = 0; // calls that this entry may send until the next report while calls wait
    };

    struct Load {
        double running = 0;
        double waiting = 0;
        double pendingPromptTokens = 0;
    };

    bool hasPlace(const std::string& upstream) const;
    double sendsOfOthers(const Engine& engine) const;
    bool hasTokenMemory(const Engine& engine, const CallSize& size, TimePoint now) const;
    std::set<std::string> withFullEngines(const std::set<std::string>& excluded, const CallSize& size, TimePoint now) const;
    double spareCalls(const std::string& id, const Engine& engine, TimePoint now) const;
    std::vector<const std::string*> sampleEngines(const std::set<std::string>& excluded, TimePoint now, bool isContended, const RegionSet& allowed);
    Load loadOf(const std::string& id, const Engine& engine, TimePoint now) const;
    EnginePrediction predictWith(const Load& load, double slowdownFactor, const CallSize& size) const;
    double stepMilliseconds(double running) const;
    double slotIntervalMilliseconds(double running) const;

    EngineSpeed m_speed;
    RandomSource m_random;
    std::map<std::string, Engine> m_engines;
    std::map<std::string, TimePoint> m_reloadingSoon;
    std::set<std::string> m_remoteEngines;
    std::set<std::string> m_regions; // that have engines
    std::map<std::string, CallLimit> m_callLimits;
    std::optional<TimePoint> m_nextPlace;
    std::map<std::uint64_t, SentCall> m_calls;
    EngineShares m_shares;
    std::map<RegionSet, std::deque<TimePoint>> m_recentSendTimes; // of this entry, by the regions of the calls
};

}
