#include "Record.h"

namespace hyssopwick {

namespace {

    struct KindVisitor {
        std::string operator()(const PlacementRecord&) const { return "placement"; }
        std::string operator()(const ServiceRecord&) const { return "service"; }
        std::string operator()(const AccountRecord&) const { return "account"; }
        std::string operator()(const VmStateRecord&) const { return "vm-state"; }
        std::string operator()(const RoleRecord&) const { return "role"; }
    };

}

std::string recordKind(const Record& record) { return std::visit(KindVisitor(), record); }

std::string recordName(const Record& record)
{
    return std::visit([](const auto& value) { return value.name; }, record);
}

std::string recordKey(const Record& record) { return recordKind(record) + "/" + recordName(record); }

}
