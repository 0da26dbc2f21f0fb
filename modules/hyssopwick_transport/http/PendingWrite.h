#pragma once

#include <atomic>
#include <memory>

namespace hyssopwick {

using WriteCounter = std::shared_ptr<std::atomic<std::size_t>>;

/// Raises a counter until Pistache has ended a write or has dropped it with its connection.
class PendingWrite {
public:
    explicit PendingWrite(WriteCounter counter, std::size_t amount = 1)
        : m_counter(std::move(counter))
        , m_amount(amount)
    {
        *m_counter += m_amount;
    }

    ~PendingWrite() { *m_counter -= m_amount; }

    PendingWrite(const PendingWrite&) = delete;
    PendingWrite& operator=(const PendingWrite&) = delete;

private:
    WriteCounter m_counter;
    std::size_t m_amount;
};

}
