#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace hyssopwick {

/// Bounds the bytes of incomplete answers that the calls of a process hold together.
class AnswerMemory {
public:
    /// \param maxBytes  returns the limit, which may change
    explicit AnswerMemory(std::function<std::size_t()> maxBytes)
        : m_maxBytes(std::move(maxBytes))
    {
    }

    std::size_t heldBytes() const { return m_heldBytes; }

private:
    friend class HeldAnswer;

    std::function<std::size_t()> m_maxBytes;
    std::size_t m_heldBytes = 0;
};

/// The part of an answer that is held until it is complete. May outlive the process's services.
class HeldAnswer {
public:
    explicit HeldAnswer(std::shared_ptr<AnswerMemory> memory)
        : m_memory(std::move(memory))
    {
    }

    ~HeldAnswer() { clear(); }

    HeldAnswer(const HeldAnswer&) = delete;
    HeldAnswer& operator=(const HeldAnswer&) = delete;

    /// Adds received bytes; returns false when the process has no memory for them.
    bool append(std::string_view bytes);

    void clear();

    const std::string& bytes() const { return m_bytes; }

private:
    std::shared_ptr<AnswerMemory> m_memory;
    std::string m_bytes;
};

}
