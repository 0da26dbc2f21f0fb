#include "MemberUpdate.h"

#include <nlohmann/json.hpp>

namespace hyssopwick {

const char* memberStateName(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Dead:
        return "dead";
    }
    return "dead";
}

nlohmann::json memberUpdateToJson(const MemberUpdate& update)
{
    return nlohmann::json::array({ update.vm.id, update.vm.address, update.vm.region, update.vm.failureDomain, update.vm.kind,
        update.incarnation, static_cast<int>(update.state) });
}

std::optional<MemberUpdate> memberUpdateFromJson(const nlohmann::json& json)
{
    constexpr std::size_t fieldCount = 7;
    if (!json.is_array() || json.size() != fieldCount || !json[5].is_number_unsigned() || !json[6].is_number_integer())
        return std::nullopt;
    for (std::size_t i = 0; i < 5; ++i) {
        if (!json[i].is_string())
            return std::nullopt;
    }
    const auto state = json[6].get<int>();
    if (state < 0 || state > static_cast<int>(MemberState::Dead) || json[0].get<std::string>().empty())
        return std::nullopt;
    MemberUpdate update;
    update.vm = { json[0].get<std::string>(), json[1].get<std::string>(), json[2].get<std::string>(), json[3].get<std::string>(), json[4].get<std::string>() };
    update.incarnation = json[5].get<std::uint64_t>();
    update.state = static_cast<MemberState>(state);
    return update;
}

}
