#include "Scheduler.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

namespace hyssopwick {

struct Scheduler::State {
    std::mutex mutex;
    std::condition_variable wake;
    std::multimap<TimePoint, Task> tasks;
    std::thread thread;
    bool stopping = false;

    void run()
    {
        std::unique_lock<std::mutex> lock(mutex);
        while (!stopping) {
            if (tasks.empty()) {
                wake.wait(lock);
                continue;
            }
            const auto due = tasks.begin()->first;
            if (monotonicNow() < due) {
                wake.wait_until(lock, due);
                continue;
            }
            auto task = std::move(tasks.begin()->second);
            tasks.erase(tasks.begin());
            lock.unlock();
            task();
            lock.lock();
        }
    }
};

Scheduler::Scheduler()
    : m_state(std::make_shared<State>())
{
    m_state->thread = std::thread([state = m_state] { state->run(); });
}

Scheduler::~Scheduler() { stop(); }

void Scheduler::at(TimePoint when, Task task)
{
    {
        std::lock_guard<std::mutex> lock(m_state->mutex);
        if (m_state->stopping)
            return;
        m_state->tasks.emplace(when, std::move(task));
    }
    m_state->wake.notify_one();
}

void Scheduler::every(Milliseconds period, Task task)
{
    at(monotonicNow() + period, [this, period, task = std::move(task)]() mutable {
        task();
        every(period, std::move(task));
    });
}

void Scheduler::stop()
{
    {
        std::lock_guard<std::mutex> lock(m_state->mutex);
        m_state->stopping = true;
    }
    m_state->wake.notify_all();
    if (m_state->thread.joinable())
        m_state->thread.join();
}

}
