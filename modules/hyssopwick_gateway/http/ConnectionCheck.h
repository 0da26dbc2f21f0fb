#pragma once

#include "NetworkTypes.h"

#include <functional>
#include <hyssopwick_core.h>

namespace hyssopwick {

/// Finds out whether a server accepts connections, without sending a byte.
/// \param deadline  when to take it for unreachable
/// \param handler  called once
void checkConnection(EventLoop& loop, const std::string& address, TimePoint deadline, std::function<void(bool isAccepted)> handler);

}
