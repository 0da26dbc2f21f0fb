#pragma once

#include "ProgramProcess.h"

#include <hyssopwick_gateway.h>

namespace hyssopwick {

/// What one client of a crowd sends. It keeps its connection open afterwards.
struct HostileRequest {
    std::string head; ///< sent first
    std::string pattern; ///< repeated until totalBytes were sent
    std::size_t totalBytes = 0; ///< of the repeated pattern
};

/// Clients that send requests which they should not, all at once, and stay connected.
class HostileCrowd {
public:
    HostileCrowd(EventLoop& loop, std::string address, std::size_t clients, HostileRequest request)
        : m_loop(loop)
        , m_address(std::move(address))
        , m_request(std::move(request))
    {
        while (!m_request.pattern.empty() && m_piece.size() < pieceBytes)
            m_piece += m_request.pattern;
        for (std::size_t number = 0; number < clients; ++number)
            m_members.push_back(std::make_shared<Member>(loop));
        for (const auto& member : m_members)
            connect(member);
    }

    ~HostileCrowd()
    {
        for (const auto& member : m_members)
            end(*member);
        m_loop.poll(); // runs the handlers that closing cancelled
    }

    HostileCrowd(const HostileCrowd&) = delete;
    HostileCrowd& operator=(const HostileCrowd&) = delete;

    /// Runs the loop until each client has sent all or was closed, or until the server has taken
    /// nothing for a while.
    void settle()
    {
        std::size_t progress = 0;
        for (auto quietSince = monotonicNow(); m_busyMembers > 0 && monotonicNow() < quietSince + quietTime;) {
            m_loop.run_one_for(Milliseconds(5));
            if (progress != m_sentBytes + m_connected)
                quietSince = monotonicNow();
            progress = m_sentBytes + m_connected;
        }
        for (const auto until = monotonicNow() + settleTime; monotonicNow() < until;)
            m_loop.run_one_for(Milliseconds(5));
    }

    std::size_t sentBytes() const { return m_sentBytes; }

private:
    struct Member {
        explicit Member(EventLoop& loop)
            : socket(loop)
        {
        }
        TcpSocket socket;
        std::size_t sent = 0; // of the repeated pattern
        std::array<char, 4096> buffer;
        bool isDone = false;
    };
    using MemberPointer = std::shared_ptr<Member>;

    static constexpr std::size_t pieceBytes = 65536;
    static constexpr Milliseconds quietTime { 1500 };
    static constexpr Milliseconds settleTime { 200 };

    void connect(const MemberPointer& member)
    {
        ++m_busyMembers;
        member->socket.async_connect(parseEndpoint(m_address).value(), [this, member](boost::system::error_code error) {
            if (error)
                return end(*member);
            ++m_connected;
            read(member);
            asio::async_write(member->socket, asio::buffer(m_request.head), [this, member](boost::system::error_code writeError, std::size_t) { writeError ? end(*member) : write(member); });
        });
    }

    void write(const MemberPointer& member)
    {
        if (member->isDone)
            return;
        const auto size = std::min(m_piece.size(), m_request.totalBytes - member->sent);
        if (size == 0) {
            --m_busyMembers;
            member->isDone = true;
            return;
        }
        member->socket.async_write_some(asio::buffer(m_piece.data() + member->sent % m_piece.size(), std::min(size, m_piece.size() - member->sent % m_piece.size())), [this, member](boost::system::error_code error, std::size_t sent) {
            m_sentBytes += sent;
            member->sent += sent;
            error ? end(*member) : write(member);
        });
    }

    // The server's answer is read, as by any client; the end of the connection ends the client.
    void read(const MemberPointer& member)
    {
        member->socket.async_read_some(asio::buffer(member->buffer), [this, member](boost::system::error_code error, std::size_t) { error ? end(*member) : read(member); });
    }

    void end(Member& member)
    {
        boost::system::error_code ignored;
        member.socket.close(ignored);
        if (!std::exchange(member.isDone, true))
            --m_busyMembers;
    }

    EventLoop& m_loop;
    std::string m_address;
    HostileRequest m_request;
    std::string m_piece;
    std::vector<MemberPointer> m_members;
    std::size_t m_busyMembers = 0;
    std::size_t m_connected = 0;
    std::size_t m_sentBytes = 0;
};

/// Returns the part of a hostile request up to its body.
/// \param fields  of the head, each with its line break
inline std::string hostileHead(const std::string& method, const std::string& target, const std::string& fields)
{
    return method + " " + target + " HTTP/1.1\r\nHost: a.example\r\n" + fields + "\r\n";
}

/// Sends an ordinary request until it is answered with \p status, as clients do that were turned
/// away or closed. Returns whether it was.
inline bool isAnswered(EventLoop& loop, const std::string& address, const HttpCall& call, unsigned status)
{
    // The upper bound only ends a failing test.
    for (const auto deadline = monotonicNow() + Milliseconds(20000); monotonicNow() < deadline;) {
        std::optional<WholeResponse> response;
        const auto now = monotonicNow();
        const auto exchange = fetchWhole(loop, address, call, now + Milliseconds(2000), now + Milliseconds(10000), [&response](WholeResponse received) { response = std::move(received); });
        while (!response)
            loop.run_one_for(Milliseconds(5));
        if (response->isComplete() && response->status == status)
            return true;
        for (const auto pauseUntil = monotonicNow() + Milliseconds(100); monotonicNow() < pauseUntil;)
            loop.run_one_for(Milliseconds(5));
    }
    return false;
}

/// Lets this test program open as many connections as the system allows.
inline void raiseOwnDescriptorLimit()
{
    rlimit limit {};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

}
