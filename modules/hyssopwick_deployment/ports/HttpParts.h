#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace hyssopwick {

/// Header fields as received: same order, letter case and repetitions.
using HeaderFields = std::vector<std::pair<std::string, std::string>>;

/// Returns whether two header names are equal, without regard to case.
bool headerNamesEqual(std::string_view left, std::string_view right);

/// Returns the value of the first field called \p name, or "".
std::string_view headerValue(const HeaderFields& fields, std::string_view name);

/// A request to a service of the platform or to a peer.
struct HttpCall {
    std::string method = "GET";
    std::string target;
    HeaderFields fields;
    std::string body;
    std::shared_ptr<const std::string> sharedBody = nullptr; ///< sent in place of \a body, without a copy

    const std::string& content() const { return sharedBody ? *sharedBody : body; }

    auto tied() const { return std::tie(method, target, fields, content()); }
    bool operator==(const HttpCall& other) const { return tied() == other.tied(); }
    bool operator!=(const HttpCall& other) const { return !(*this == other); }
};

}
