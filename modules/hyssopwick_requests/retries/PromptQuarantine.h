#pragma once

#include <hyssopwick_core.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hyssopwick {

/// Finds the prompt blocks on which engines crash, whatever else a request holds, and keeps
/// requests with them from further engines. A crash loses many calls, most of them harmless;
/// what tells the cause from the others is that no call with it is ever answered. A block is
/// quarantined after crashes in sequence without an answered call in between: each counts only
/// calls that were sent after the one before, since many engines may fail at once for another
/// reason.
///
/// A quarantine may be wrong, so single calls recheck it at growing intervals: the first soon,
/// so that a harmless block is refused briefly, later ones rarely, since each may cost an engine.
/// All processes share what each of them observes. Made for many entries, each of which sees a
/// small part of the calls. Pure.
class PromptQuarantine {
public:
    /// Ids of blocks of a prompt.
    using Blocks = std::vector<std::string>;

    /// How to treat a call.
    enum class Verdict {
        Run,
        Recheck, ///< may run to find out whether engines still crash on its quarantined blocks
        Refuse,
    };

    /// The blocks that an answered call clears.
    struct Cleared {
        Blocks suspected; ///< were in flight at a crash before it, quarantined or not
        Blocks released; ///< were quarantined
    };

    /// Records that an upstream crashed during a call that may just have begun. Returns the
    /// blocks that are quarantined from now on.
    Blocks recordCrash(const Blocks& blocks, TimePoint sentAt, TimePoint crashedAt, TimePoint now);

    /// Records that a call which began at \p begunAt did not crash its upstream.
    Cleared recordAnswered(const Blocks& blocks, TimePoint begunAt);

    Verdict verdict(const Blocks& blocks, TimePoint now) const;

    /// Records that a call rechecks its quarantined blocks, in this process or another one.
    /// Returns these blocks.
    Blocks recordRecheck(const Blocks& blocks, TimePoint now);

    /// Takes back a recheck of this process that did not take place.
    void withdrawRecheck(const std::string& block, TimePoint now);

    /// Adopts a quarantine that a process recorded in the store.
    /// \param rechecks  how many rechecks had crashed by then
    void adopt(const std::string& block, unsigned rechecks, TimePoint now);

    /// Ends the quarantine of a block; returns false if there was none.
    bool release(const std::string& block) { return m_suspects.erase(block) > 0; }

    /// Returns how many rechecks of a block there were, or nothing if it is not quarantined.
    std::optional<unsigned> rechecks(const std::string& block) const;

    /// Returns when a call with these blocks may recheck them, or nothing if none is quarantined.
    std::optional<TimePoint> nextRecheck(const Blocks& blocks) const;

    /// Forgets what has no effect any more.
    void expire(TimePoint now);

private:
    struct Suspect {
        std::vector<TimePoint> crashes; // without an answered call since, in order
        TimePoint lastEvidence; // of a crash
        bool isQuarantined = false;
        unsigned rechecks = 0;
        TimePoint recheckAt;
    };

    Blocks quarantined(const Blocks& blocks) const;

    std::map<std::string, Suspect> m_suspects;
    std::map<std::string, TimePoint> m_answeredAt; // by block: when the last answered call began
};

}
