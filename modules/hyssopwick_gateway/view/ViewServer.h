#pragma once

#include "../http/ServerExchange.h"
#include "../runtime/GatewayContext.h"
#include "ViewMessage.h"

#include <functional>
#include <list>

namespace hyssopwick {

/// Answers the requests of peers for the view. A request for changes waits until there are some.
class ViewServer {
public:
    /// Time for which a request waits at most.
    static constexpr Milliseconds maxWait { 500 };

    /// What the owner of the view tells and is told.
    struct Owner {
        std::function<ViewTimes()> times; ///< of the view, without the time for which a request was held
        std::function<void()> onDoubt; ///< called when a peer found that the content of the view is in doubt
    };

    ViewServer(GatewayContext& context, const StoreView& view, const VersionPublications& publications, Owner owner);

    /// Answers a request if it is for the view. Returns whether it is.
    bool serve(const ServerExchangePointer& exchange);

    /// Removes the encoded updates. Call whenever the view changes.
    void clearEncodings() { m_encoded.clear(); }

    /// Answers the waiting requests whose senders lack changes of the view.
    void answerOutdated();

    /// Answers all waiting requests.
    void answerAll();

private:
    struct WaitingPeer {
        ServerExchangePointer exchange;
        StorePosition known;
        TimePoint receivedAt;
        TimePoint deadline;
        std::uint64_t contentDigest; // of this view when the request came
    };

    void answer(const WaitingPeer& peer);
    void expireWaiting();

    GatewayContext& m_context;
    const StoreView& m_view;
    const VersionPublications& m_publications;
    Owner m_owner;
    EncodedViewCache m_encoded; // of the view's current revision
    LoopTimer m_timer;
    std::list<WaitingPeer> m_waitingPeers;
};

}
