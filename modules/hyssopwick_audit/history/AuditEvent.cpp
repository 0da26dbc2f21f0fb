#include "AuditEvent.h"

#include <cstdlib>

namespace hyssopwick {

const std::string& AuditEvent::field(const std::string& name) const
{
    static const std::string emptyField;
    const auto found = fields.find(name);
    return found == fields.end() ? emptyField : found->second;
}

std::int64_t AuditEvent::number(const std::string& name) const { return std::strtoll(field(name).c_str(), nullptr, 10); }

}
