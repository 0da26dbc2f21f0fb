#include "RestoredRecords.h"

namespace hyssopwick {

void RestoredRecords::recordReturn(TimePoint returnedAt)
{
    for (auto& [key, removeAt] : m_removeAt)
        removeAt = returnedAt + restorationTime;
}

std::vector<std::string> RestoredRecords::expire(TimePoint now)
{
    std::vector<std::string> expired;
    for (auto record = m_removeAt.begin(); record != m_removeAt.end();) {
        if (record->second > now) {
            ++record;
            continue;
        }
        expired.push_back(record->first);
        record = m_removeAt.erase(record);
    }
    return expired;
}

std::optional<TimePoint> RestoredRecords::nextExpiry() const
{
    std::optional<TimePoint> next;
    for (const auto& [key, removeAt] : m_removeAt) {
        if (!next || removeAt < *next)
            next = removeAt;
    }
    return next;
}

}
