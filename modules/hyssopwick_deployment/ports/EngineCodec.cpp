#include "EngineCodec.h"

namespace hyssopwick {

const char* orderResultName(OrderResult result)
{
    switch (result) {
    case OrderResult::Begun:
        return "begun";
    case OrderResult::AlreadyInEffect:
        return "in-effect";
    case OrderResult::Conflict:
        return "conflict";
    case OrderResult::Refused:
        return "refused";
    case OrderResult::NotSent:
        return "not-sent";
    case OrderResult::Unknown:
        return "unknown";
    }
    return "unknown";
}

}
