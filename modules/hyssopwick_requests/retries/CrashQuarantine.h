#pragma once

#include <hyssopwick_core.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hyssopwick {

/// A crash of an upstream that lost a call.
struct UpstreamCrash {
    std::string upstream; ///< address
    TimePoint sentAt; ///< when the call was sent
    TimePoint crashedAt;

    auto tied() const { return std::tie(upstream, sentAt, crashedAt); }
    bool operator==(const UpstreamCrash& other) const { return tied() == other.tied(); }
    bool operator!=(const UpstreamCrash& other) const { return !(*this == other); }
};

/// What a process knows of a part of calls that may crash upstreams.
struct CrashSuspect {
    std::string part;
    std::vector<UpstreamCrash> crashes; ///< without an answered call since, in order
    TimePoint lastEvidence; ///< of a crash
    bool isQuarantined = false;
    unsigned rechecks = 0;
    TimePoint recheckAt;

    auto tied() const { return std::tie(part, crashes, lastEvidence, isQuarantined, rechecks, recheckAt); }
    bool operator==(const CrashSuspect& other) const { return tied() == other.tied(); }
    bool operator!=(const CrashSuspect& other) const { return !(*this == other); }
};

/// Finds what crashes upstreams: whole requests that are repeated, and blocks of prompts, whatever
/// else a request holds. A crash loses many calls, most of them harmless; what tells the cause from
/// the others is that no call with it is ever answered.
///
/// A request is quarantined after it was in flight at several upstreams that crashed. Of a block,
/// which many calls share, only crashes in sequence count: each counts only calls that were sent
/// after the one before, since many engines may fail at once for another reason.
///
/// A quarantine may be wrong, so single calls recheck it at growing intervals: the first soon,
/// so that a harmless part is refused briefly, later ones rarely, since each may cost an upstream.
/// All processes share what each of them observes, and merge what they know, since observations
/// may be lost. Made for many entries, each of which sees a small part of the calls. Pure.
class CrashQuarantine {
public:
    /// Ids of parts of a call: blocks of its prompt, and the whole request.
    using Parts = std::vector<std::string>;

    /// How to treat a call.
    enum class Verdict {
        Run,
        Recheck, ///< may run to find out whether upstreams still crash on its quarantined parts
        Refuse,
    };

    /// The parts that an answered call clears.
    struct Cleared {
        Parts suspected; ///< were in flight at a crash before it, quarantined or not
        Parts released; ///< were quarantined
    };

    /// \param recheckOffset  how much later than others this process rechecks, so that it hears of
    ///                       theirs first; the first time a part of it
    explicit CrashQuarantine(Milliseconds recheckOffset = Milliseconds(0))
        : m_recheckOffset(recheckOffset)
    {
    }

    /// Records that an upstream crashed during a call with these blocks that may just have begun.
    /// Returns the blocks that are quarantined from now on.
    Parts recordCrash(const Parts& blocks, TimePoint sentAt, TimePoint crashedAt, TimePoint now);

    /// Records that an upstream crashed during a request. Returns whether the request is
    /// quarantined from now on.
    bool recordRequestCrash(const std::string& request, const UpstreamCrash& crash, TimePoint now);

    /// Records that a call which began at \p begunAt did not crash its upstream.
    Cleared recordAnswered(const Parts& parts, TimePoint begunAt);

    Verdict verdict(const Parts& parts, TimePoint now) const;

    /// Records that a call rechecks its quarantined parts, in this process or another one.
    /// Returns these parts.
    Parts recordRecheck(const Parts& parts, TimePoint now);

    /// Takes back a recheck of this process that did not take place.
    void withdrawRecheck(const std::string& part, TimePoint now);

    /// Adopts a quarantine that a process recorded in the store.
    /// \param rechecks  how many rechecks had crashed by then
    void adopt(const std::string& part, unsigned rechecks, TimePoint now);

    /// Ends the quarantine of a part; returns false if there was none.
    bool release(const std::string& part) { return m_suspects.erase(part) > 0; }

    /// Returns how many rechecks of a part there were, or nothing if it is not quarantined.
    std::optional<unsigned> rechecks(const std::string& part) const;

    /// Returns when a call with these parts may recheck them, or nothing if none is quarantined.
    std::optional<TimePoint> nextRecheck(const Parts& parts) const;

    /// Returns what the other processes should know too: the suspects that are quarantined, or
    /// one crash short of it.
    std::vector<CrashSuspect> shared() const;

    /// Returns a digest of shared() without its times, to compare two processes; 0 for none.
    std::uint64_t sharedDigest() const;

    /// Merges what another process knows. Returns when the answered call began that refutes it, if
    /// there was one.
    std::optional<TimePoint> merge(const CrashSuspect& suspect, TimePoint now);

    /// Forgets what has no effect any more.
    void expire(TimePoint now);

private:
    CrashSuspect* suspectOf(const std::string& part, TimePoint crashedAt);
    bool addCrash(CrashSuspect& suspect, const UpstreamCrash& crash, TimePoint now);
    Parts quarantined(const Parts& parts) const;

    // The last answered call with a part.
    struct Answer {
        TimePoint begunAt;
        bool hasCleared = false; // a suspect
    };

    Milliseconds m_recheckOffset;
    std::map<std::string, CrashSuspect> m_suspects;
    std::map<std::string, Answer> m_answers; // by part
};

}
