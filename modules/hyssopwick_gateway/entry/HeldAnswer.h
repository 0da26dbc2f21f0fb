#pragma once

#include "AnswerMemory.h"

#include <memory>
#include <string>
#include <string_view>

namespace hyssopwick {

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

    /// Returns the whole answer and holds it no longer.
    std::string take();

private:
    std::shared_ptr<AnswerMemory> m_memory;
    std::string m_bytes;
};

}
