#include "UpstreamLimitShare.h"

#include <algorithm>
#include <cmath>

namespace hyssopwick {

namespace {
    // An unused place ends this long after the next one of any entry VM began. The platform allows
    // half as much again as the limit in 4 s, and 5 calls: one second of places may come late.
    constexpr double unusedMilliseconds = 1000;
    // An upstream that wants no calls gets one now and then, or it could not say that this has ended.
    constexpr double minCallsPerSecond = 0.05;
    constexpr double maxCallsPerSecond = 1e6;
    constexpr double millisecondsPerSecond = 1000;
}

UpstreamLimitShare::UpstreamLimitShare(double callsPerSecond, TimePoint origin, TimePoint now)
    : m_callsPerSecond(std::clamp(callsPerSecond, minCallsPerSecond, maxCallsPerSecond))
    , m_origin(origin)
    , m_usedUntil(now)
{
}

// Places that began before a change do not count after it, since another entry VM may have them now.
void UpstreamLimitShare::setLimit(double callsPerSecond, TimePoint now)
{
    const auto bounded = std::clamp(callsPerSecond, minCallsPerSecond, maxCallsPerSecond);
    if (bounded == m_callsPerSecond)
        return;
    m_callsPerSecond = bounded;
    m_usedUntil = now;
}

void UpstreamLimitShare::setOrigin(TimePoint origin, TimePoint now)
{
    if (origin == m_origin)
        return;
    m_origin = origin;
    m_usedUntil = now;
}

void UpstreamLimitShare::setPosition(std::size_t position, std::size_t count, TimePoint now)
{
    if (position == m_position && count == m_count)
        return;
    m_position = position;
    m_count = std::max<std::size_t>(1, count);
    m_usedUntil = now;
}

void UpstreamLimitShare::setUnusedPlaces(Milliseconds lifetime, std::size_t maxCount)
{
    m_unusedLifetime = lifetime;
    m_maxUnused = std::max<std::size_t>(1, maxCount);
}

double UpstreamLimitShare::placesUntil(TimePoint time) const { return double(millisecondsBetween(m_origin, time)) * m_callsPerSecond / millisecondsPerSecond; }

TimePoint UpstreamLimitShare::startOf(std::int64_t place) const
{
    return m_origin + Milliseconds(static_cast<std::int64_t>(std::ceil(double(place) * millisecondsPerSecond / m_callsPerSecond)));
}

std::int64_t UpstreamLimitShare::firstOwnPlaceAfter(TimePoint time) const
{
    const auto count = static_cast<std::int64_t>(m_count);
    const auto position = static_cast<std::int64_t>(m_position);
    const auto first = static_cast<std::int64_t>(std::floor((placesUntil(time) - double(position)) / double(count))) - 1;
    auto place = first * count + position;
    while (startOf(place) <= time)
        place += count;
    return place;
}

TimePoint UpstreamLimitShare::unusedSince(TimePoint now) const
{
    const auto lifetime = m_unusedLifetime.value_or(Milliseconds(static_cast<std::int64_t>(unusedMilliseconds + millisecondsPerSecond / m_callsPerSecond)));
    return std::max(m_usedUntil, now - lifetime);
}

std::size_t UpstreamLimitShare::startedPlaces(TimePoint now) const
{
    const auto first = firstOwnPlaceAfter(unusedSince(now));
    const auto last = static_cast<std::int64_t>(std::floor(placesUntil(now)));
    return first > last ? 0 : static_cast<std::size_t>(last - first) / m_count + 1;
}

std::size_t UpstreamLimitShare::availableCalls(TimePoint now) const { return std::min(startedPlaces(now), m_maxUnused); }

void UpstreamLimitShare::recordSend(TimePoint now)
{
    const auto started = startedPlaces(now);
    const auto expired = started > m_maxUnused ? started - m_maxUnused : 0;
    m_usedUntil = startOf(firstOwnPlaceAfter(unusedSince(now)) + static_cast<std::int64_t>(expired * m_count));
}

TimePoint UpstreamLimitShare::nextPlace(TimePoint now) const { return std::max(now, startOf(firstOwnPlaceAfter(unusedSince(now)))); }

}
