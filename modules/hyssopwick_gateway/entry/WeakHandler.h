#pragma once

#include <boost/system/error_code.hpp>
#include <functional>
#include <memory>

namespace hyssopwick {

/// Returns a handler that calls a method of an object as long as the object exists.
template <typename Object, typename... Arguments>
std::function<void(Arguments...)> weakHandler(const std::weak_ptr<Object>& object, void (Object::*method)(Arguments...))
{
    return [object, method](Arguments... arguments) {
        if (const auto self = object.lock())
            ((*self).*method)(std::forward<Arguments>(arguments)...);
    };
}

/// Returns the same for a timer: it does nothing if the timer was cancelled.
template <typename Object>
std::function<void(boost::system::error_code)> weakTimerHandler(const std::weak_ptr<Object>& object, void (Object::*method)())
{
    return [handler = weakHandler(object, method)](boost::system::error_code error) {
        if (!error)
            handler();
    };
}

}
