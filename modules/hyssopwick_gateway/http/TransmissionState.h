#pragma once

#include "NetworkTypes.h"

#include <optional>

namespace hyssopwick {

/// What this host's TCP knows of a connection's transmission, at one time.
struct TransmissionState {
    std::size_t unacknowledgedBytes = 0; ///< written, and not acknowledged by the other host; an unacknowledged close counts as one
    std::size_t unsentBytes = 0; ///< of these, those that wait for the other host's window or for this host's turn
    unsigned retransmissions = 0; ///< of packets, since the connection was opened
    Milliseconds roundTrip { 0 }; ///< smoothed
    Milliseconds sinceAcknowledgement { 0 }; ///< since the other host last acknowledged anything

    /// Returns whether bytes have been sent that the other host has not acknowledged.
    bool isInFlight() const { return unacknowledgedBytes > unsentBytes; }

    /// Returns the state of an open connection, or nothing if the system does not tell it.
    static std::optional<TransmissionState> of(TcpSocket& socket);

    auto tied() const { return std::tie(unacknowledgedBytes, unsentBytes, retransmissions, roundTrip, sinceAcknowledgement); }
    bool operator==(const TransmissionState& other) const { return tied() == other.tied(); }
    bool operator!=(const TransmissionState& other) const { return !(*this == other); }
};

/// Returns the time since the last byte arrived on a connection, read or not; 0 if the system does not tell it.
Milliseconds timeSinceReceived(TcpSocket& socket);

/// Returns whether the other host has closed its side of the connection, also behind bytes that
/// were not read yet.
bool isClosedByPeer(TcpSocket& socket);

}
