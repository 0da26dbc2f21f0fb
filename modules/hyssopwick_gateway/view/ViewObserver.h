#pragma once

#include <functional>
#include <hyssopwick_deployment.h>

namespace hyssopwick {

/// Called with the decoded contents of changed records.
struct ViewObserver {
    std::function<void(const DeploymentConfiguration&)> onConfiguration;
    std::function<void(const Upstream&, RegistrationSource source)> onUpstream;
    std::function<void(const std::string& id, RegistrationEnd end)> onUpstreamGone;
    /// \p earliestPublication is the earliest time at which the version may have been published.
    std::function<void(const WeightsVersion&, TimePoint earliestPublication)> onVersion;
    std::function<void(const RegisteredNode&)> onNode;
    std::function<void(const std::string& id)> onNodeGone;
    std::function<void(const PromptBlockRecord&)> onPromptBlock;
    std::function<void(const std::string& block)> onPromptBlockGone;
    std::function<void(const Evacuation&)> onEvacuation;
    std::function<void(const Evacuation&)> onEvacuationEnd;
    std::function<void(std::uint64_t era)> onEra; ///< before the changes of the first update of an era
    std::function<void()> onBatchEnd; ///< after all changes of one update

    /// Calls a handler if it is set.
    template <typename Handler, typename... Arguments>
    static void notify(const Handler& handler, Arguments&&... arguments)
    {
        if (handler)
            handler(std::forward<Arguments>(arguments)...);
    }
};

}
