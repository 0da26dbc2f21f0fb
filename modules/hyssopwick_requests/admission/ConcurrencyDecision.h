#pragma once

#include <cstddef>
#include <cstdint>

namespace hyssopwick {

/// Decides how many requests an entry VM may have at the upstreams of one worker kind.
/// The limit starts from an even share of their capacity, falls when most answers say that
/// the upstream is busy, and otherwise rises while requests wait here (additive increase,
/// multiplicative decrease, Chiu and Jain 1989). Capacity thus follows demand without
/// messages between entry VMs. Pure.
class ConcurrencyDecision {
public:
    void recordAnswer(bool wasBusy);

    /// Adjusts the limit by one step, so call at a fixed period.
    /// \param evenShare       this entry VM's even share of the capacity
    /// \param totalCapacity   capacity of all upstreams known here
    /// \param queuedRequests  requests that wait at this entry VM
    /// \returns how many requests may run at once, at least 2
    std::int64_t adapt(double evenShare, double totalCapacity, std::size_t queuedRequests);

private:
    double m_factor = 1.5; // multiple of the even share
    std::uint64_t m_answers = 0;
    std::uint64_t m_busyAnswers = 0;
};

}
