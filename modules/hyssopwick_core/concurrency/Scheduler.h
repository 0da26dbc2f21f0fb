#pragma once

#include "../values/TimePoint.h"

#include <functional>
#include <memory>

namespace hyssopwick {

/// Runs tasks at given instants on one thread. Tasks must not block.
class Scheduler {
public:
    using Task = std::function<void()>;

    Scheduler();

    /// Drops the tasks that are not due and joins the thread.
    ~Scheduler();

    /// Runs \p task once at \p when, or as soon as possible after it.
    void at(TimePoint when, Task task);

    /// Runs \p task repeatedly, each time \p period after the previous run has ended.
    void every(Milliseconds period, Task task);

    /// Drops the tasks that are not due and joins the thread; later calls have no effect.
    void stop();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

}
