#pragma once

#include "MemberTable.h"

#include <set>
#include <variant>

namespace hyssopwick {

/// Pings a member directly.
struct SendPing {
    std::string vm;
    TimePoint deadline;
};

/// Asks helpers to ping a member.
struct SendIndirectPing {
    std::string vm;
    std::vector<std::string> helpers;
    TimePoint deadline;
};

using ProbeAction = std::variant<SendPing, SendIndirectPing>;

/// Decides whom to probe and whom to suspect, after SWIM (Das, Gupta and Motivala
/// 2002): each entry VM probes the other entries in a shuffled order, asks helpers
/// from several failure domains before it suspects one, keeps pinging suspects so
/// that they can refute, and periodically pings a dead member, so that the end of a
/// partition is noticed. Pure.
class ProbeDecision {
public:
    ProbeDecision(std::string self, std::uint64_t seed, TimePoint now);

    /// Returns the probes to send now.
    std::vector<ProbeAction> advance(const MemberTable& members, TimePoint now);

    /// Records an answer of \p vm, received directly or through a helper.
    void recordAnswer(const std::string& vm);

    /// Records that a direct ping was not answered; returns the indirect pings to send.
    std::vector<ProbeAction> recordPingFailure(const std::string& vm, const MemberTable& members, TimePoint now);

    /// Records that no helper reached \p vm; returns whether to suspect it.
    bool recordIndirectFailure(const std::string& vm);

    /// Returns whether this process was paused for so long that unanswered probes are no
    /// evidence of failures, and drops those. \param now  instant of this call, made in each round
    bool detectPause(TimePoint now);

private:
    std::string m_self;
    RandomSource m_random;
    std::vector<std::string> m_order;
    std::size_t m_position = 0;
    TimePoint m_nextProbeAt;
    TimePoint m_nextDeadProbeAt;
    TimePoint m_lastRoundAt;
    std::set<std::string> m_unanswered;
};

}
