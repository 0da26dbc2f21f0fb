#include "ConfigurationRefusal.h"

namespace hyssopwick {

RefusalReason refusalByConfiguration(RefusalReason reason, Milliseconds age, Milliseconds bound)
{
    switch (reason) {
    case RefusalReason::Unauthenticated:
    case RefusalReason::UnknownModel:
    case RefusalReason::UnknownService:
    case RefusalReason::UnknownMethod:
        return age > bound ? RefusalReason::ConfigurationOutdated : reason;
    default:
        return reason;
    }
}

}
