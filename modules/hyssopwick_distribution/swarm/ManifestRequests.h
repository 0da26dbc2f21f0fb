#pragma once

#include <hyssopwick_core.h>
#include <string>
#include <vector>

namespace hyssopwick {

/// Decides whom a VM asks for a version's manifest, and for how long. A few VMs ask the
/// origin and the others ask these, so that the origin's link is left to the chunks. Pure:
/// no clock, socket, thread or log.
class ManifestRequests {
public:
    struct Request {
        std::string member; ///< "" for the origin
        TimePoint connectBy;
        TimePoint beginBy; ///< the answer has to begin before this time
        Milliseconds stallTimeout; ///< maximum time between its pieces, once it has begun
        TimePoint deadline;
    };

    ManifestRequests(std::string key, std::string self);

    /// Returns the next request. \param others  the other members
    Request next(std::vector<std::string> others, TimePoint now);

    /// Returns when the next request may be made after one that failed at \p now.
    static TimePoint retryAt(TimePoint now);

private:
    std::string m_key;
    std::string m_self;
    unsigned m_attempts = 0;
    unsigned m_originRequests = 0;
};

}
