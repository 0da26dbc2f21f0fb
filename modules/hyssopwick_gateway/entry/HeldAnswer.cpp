#include "HeldAnswer.h"

namespace hyssopwick {

bool HeldAnswer::append(std::string_view bytes)
{
    if (m_memory->m_heldBytes + bytes.size() > m_memory->m_maxBytes())
        return false;
    m_bytes.append(bytes);
    m_memory->m_heldBytes += bytes.size();
    return true;
}

void HeldAnswer::clear()
{
    m_memory->m_heldBytes -= m_bytes.size();
    m_bytes.clear();
    m_bytes.shrink_to_fit();
}

}
