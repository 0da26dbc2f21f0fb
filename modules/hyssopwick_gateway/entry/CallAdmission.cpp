#include "CallAdmission.h"

#include "../http/HttpStatus.h"

namespace hyssopwick {

namespace {

    constexpr Milliseconds defaultCallerTimeout { 10000 }; // for callers that send none, on routes without a bound

    TimePoint deadlineOf(const CallDescription& call, const CallRoute& route, TimePoint received)
    {
        if (!call.callerTimeout)
            return received + (route.answerTimeout.count() > 0 ? route.answerTimeout : defaultCallerTimeout);
        return received + (route.answerTimeout.count() > 0 ? std::min(*call.callerTimeout, route.answerTimeout) : *call.callerTimeout);
    }

}

CallAdmission admitCall(const ServerRequest& request, const CallDescription& call, const RouteTable& routes, double draw)
{
    AdmittedCall admitted;
    admitted.route = routes.find(request.host, request.target);
    if (!admitted.route)
        return RejectedCall { nullptr, RefusalReason::UnknownService, statusNotFound };
    const auto& route = *admitted.route;
    admitted.priority = route.priority;
    if (routes.needsKeys() && !route.allowsAnonymous) {
        const auto* account = routes.accountOf(call.accountKey);
        if (!account)
            return RejectedCall { &route, RefusalReason::Unauthenticated, statusUnauthorized };
        admitted.account = account->name;
        admitted.priority = account->priority.value_or(route.priority);
    }
    admitted.service = routes.service(RouteTable::chooseTarget(route, draw));
    admitted.deadline = deadlineOf(call, route, request.receivedAt);
    admitted.allowedRegions = allowedRegionsOf(request, call.accountKey, routes).value_or(route.allowedRegions);
    admitted.size = { double(call.promptTokens), double(call.answerTokensHint > 0 ? call.answerTokensHint : call.maxAnswerTokens) };
    const auto* engine = admitted.service && admitted.service->engine ? &*admitted.service->engine : nullptr;
    if (engine && engine->tokenCapacity > 0 && admitted.size.promptTokens + admitted.size.answerTokens > engine->tokenCapacity)
        return RejectedCall { &route, RefusalReason::TooLarge, statusUnavailable };
    admitted.crashTraits = { Digest::of(request.method + " " + request.host + request.target + "\n" + admitted.account + "\n" + request.body), call.sharedPromptBlocks };
    return admitted;
}

bool mayRunAgain(const CallRoute& route) { return route.kind == CallKind::Idempotent || (route.kind == CallKind::Stream && route.isResumable); }

bool endsBefore(TimePoint stopBy, const AdmittedCall& call) { return call.deadline <= stopBy; }

}
