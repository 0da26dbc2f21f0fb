#include "HeldAnswer.h"

namespace hyssopwick {

bool HeldAnswer::append(std::string_view bytes)
{
    if (!m_memory->hasRoom(AnswerKind::Whole, bytes.size()))
        return false;
    m_bytes.append(bytes);
    m_memory->hold(bytes.size());
    return true;
}

void HeldAnswer::clear()
{
    m_memory->release(m_bytes.size());
    m_bytes.clear();
    m_bytes.shrink_to_fit();
}

std::string HeldAnswer::take()
{
    m_memory->release(m_bytes.size());
    return std::exchange(m_bytes, {});
}

}
