#pragma once

#include <hyssopwick_core.h>
#include <nlohmann/json_fwd.hpp>
#include <optional>

namespace hyssopwick {

/// State of a VM, in rising precedence at equal incarnation.
enum class MemberState {
    Alive,
    Leaving,
    Suspect,
    Dead,
};

/// Returns the name of a state, for example "alive".
const char* memberStateName(MemberState state);

/// One VM's state as spread by gossip. A higher incarnation wins; at equal incarnation
/// the state of higher precedence wins. Only the VM itself raises its incarnation.
struct MemberUpdate {
    VmIdentity vm;
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Alive;

    /// Returns whether this update replaces \p known.
    bool supersedes(const MemberUpdate& known) const
    {
        return incarnation != known.incarnation ? incarnation > known.incarnation : state > known.state;
    }

    auto tied() const { return std::tie(vm, incarnation, state); }
    bool operator==(const MemberUpdate& other) const { return tied() == other.tied(); }
    bool operator!=(const MemberUpdate& other) const { return !(*this == other); }
};

nlohmann::json memberUpdateToJson(const MemberUpdate& update);

/// Parses memberUpdateToJson() output; nothing for a malformed update.
std::optional<MemberUpdate> memberUpdateFromJson(const nlohmann::json& json);

}
