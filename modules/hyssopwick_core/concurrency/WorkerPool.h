#pragma once

#include <cstddef>
#include <functional>
#include <memory>

namespace hyssopwick {

/// Runs submitted tasks on a fixed number of threads, in submission order.
class WorkerPool {
public:
    using Task = std::function<void()>;

    /// Starts \p threads threads.
    /// \param queueLimit  number of tasks that may wait; further ones are refused
    WorkerPool(std::size_t threads, std::size_t queueLimit);

    /// Finishes the queued tasks and joins the threads.
    ~WorkerPool();

    /// Queues \p task; returns false when the queue is full or the pool is stopping.
    bool submit(Task task);

    /// Finishes the queued tasks and joins the threads; later calls have no effect.
    void stop();

private:
    struct State;
    std::unique_ptr<State> m_state;
};

}
