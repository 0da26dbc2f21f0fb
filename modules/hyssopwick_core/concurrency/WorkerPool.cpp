#include "WorkerPool.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <vector>

namespace hyssopwick {

struct WorkerPool::State {
    std::mutex mutex;
    std::condition_variable wake;
    std::deque<Task> tasks;
    std::vector<std::thread> threads;
    std::size_t queueLimit = 0;
    bool stopping = false;

    void run()
    {
        for (;;) {
            Task task;
            {
                std::unique_lock<std::mutex> lock(mutex);
                wake.wait(lock, [this] { return stopping || !tasks.empty(); });
                if (tasks.empty())
                    return;
                task = std::move(tasks.front());
                tasks.pop_front();
            }
            task();
        }
    }
};

WorkerPool::WorkerPool(std::size_t threads, std::size_t queueLimit)
    : m_state(std::make_unique<State>())
{
    m_state->queueLimit = queueLimit;
    for (std::size_t i = 0; i < threads; ++i)
        m_state->threads.emplace_back([state = m_state.get()] { state->run(); });
}

WorkerPool::~WorkerPool() { stop(); }

bool WorkerPool::submit(Task task)
{
    {
        std::lock_guard<std::mutex> lock(m_state->mutex);
        if (m_state->stopping || m_state->tasks.size() >= m_state->queueLimit)
            return false;
        m_state->tasks.push_back(std::move(task));
    }
    m_state->wake.notify_one();
    return true;
}

void WorkerPool::stop()
{
    {
        std::lock_guard<std::mutex> lock(m_state->mutex);
        m_state->stopping = true;
    }
    m_state->wake.notify_all();
    for (auto& thread : m_state->threads) {
        if (thread.joinable())
            thread.join();
    }
    m_state->threads.clear();
}

}
