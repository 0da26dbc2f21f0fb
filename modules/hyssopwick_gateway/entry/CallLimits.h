#pragma once

#include <hyssopwick_core.h>

namespace hyssopwick {

// Connect timeouts in the first and in later rounds over the upstreams. The first is
// several times the latency between failure domains of one site; later ones allow for
// sites with longer latencies.
inline constexpr Milliseconds connectTimeouts[] = { Milliseconds(60), Milliseconds(250), Milliseconds(1000) };
inline constexpr unsigned lastConnectRound = 2;
// Engines that may be unreachable before a call is refused.
inline constexpr unsigned maxEngineConnects = 4;
// After more attempts than this that were withheld, an upstream is not chosen again for the call.
inline constexpr unsigned maxWithheldAttempts = 4;
inline constexpr Milliseconds connectRoundDelay { 30 };
inline constexpr Milliseconds notReadyRetryAfter { 500 };
inline constexpr Milliseconds overloadRetryAfter { 500 };
// A request that was not acknowledged after a retransmission (200 ms at the earliest) may arrive long
// after it was sent. Checked twice, so that it is given up within the 0.5 s in which upstreams have to
// notice that a caller has left.
inline constexpr Milliseconds deliveryTimeout { 220 };
// Within this time an upstream at work sends another part of an answer that it has begun: several steps of
// an engine, and less than a pause that callers notice.
inline constexpr Milliseconds silenceToLeaveUpstream { 300 };
// Longer answers and events than any upstream sends are taken for bytes without end.
inline constexpr std::uint64_t maxAnswerBytes = std::uint64_t(4) << 20;
inline constexpr std::size_t maxEventBytes = std::size_t(256) << 10;
// Bytes of one stream that may wait for the caller's socket.
inline constexpr std::size_t maxUnsentBytes = std::size_t(256) << 10;

}
