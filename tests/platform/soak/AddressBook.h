#pragma once

#include "ClientConnection.h"

#include <set>

namespace hyssopwick::soak {

/// The entry addresses that one caller knows from the directory.
class AddressBook {
public:
    /// \param directories  nearest first
    /// \param lifetimeFactor  some callers keep an answer longer than it says
    AddressBook(EventLoop& loop, std::vector<std::string> directories, unsigned lifetimeFactor);

    /// Asks the directory if the last answer is too old; the last one stays in use until then.
    void refresh();

    bool isEmpty() const { return m_addresses.empty(); }
    bool isListed(const std::string& address) const { return m_addresses.count(address) != 0; }
    void recordFailure(const std::string& address) { m_failed.insert(address); }

    /// Returns a random address, without those that failed if there are others.
    std::string choose(Random& random) const;

private:
    void ask(std::size_t directory);
    bool adopt(const HttpMessage& response);

    EventLoop& m_loop;
    std::vector<std::string> m_directories;
    unsigned m_lifetimeFactor;
    std::set<std::string> m_addresses;
    std::set<std::string> m_failed;
    TimePoint m_expiresAt;
    bool m_isAsking = false;
};

}
