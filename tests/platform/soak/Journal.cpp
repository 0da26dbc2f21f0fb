#include "Journal.h"

namespace hyssopwick::soak {

Attempt& Journal::addAttempt(Attempt attempt)
{
    m_attempts.push_back(std::move(attempt));
    return m_attempts.back();
}

Run& Journal::addRun(const std::string& id, const std::string& server)
{
    auto& runs = m_runs[id];
    runs.push_back({});
    runs.back().server = server;
    runs.back().arrivedAt = now();
    return runs.back();
}

const std::deque<Run>* Journal::runsOf(const std::string& id) const
{
    const auto found = m_runs.find(id);
    return found == m_runs.end() ? nullptr : &found->second;
}

bool Journal::isStreaming(unsigned entry) const
{
    while (m_firstOpen < m_attempts.size() && m_attempts[m_firstOpen].end != AttemptEnd::Open)
        ++m_firstOpen;
    for (std::size_t at = m_firstOpen; at < m_attempts.size(); ++at) {
        if (m_attempts[at].entry == entry && m_attempts[at].isStreaming())
            return true;
    }
    return false;
}

const char* nameOf(RunEnd end)
{
    switch (end) {
    case RunEnd::Open:
        return "open";
    case RunEnd::Whole:
        return "whole";
    case RunEnd::NotRun:
        return "not run";
    case RunEnd::EntryClosed:
        return "entry closed the connection";
    case RunEnd::ServerBrokeOff:
        break;
    }
    return "server broke off";
}

const char* nameOf(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::Open:
        return "open";
    case AttemptEnd::Answered:
        return "answered";
    case AttemptEnd::Closed:
        return "closed";
    case AttemptEnd::Reset:
        return "reset";
    case AttemptEnd::Invalid:
        return "invalid answer";
    case AttemptEnd::Deadline:
        return "deadline";
    case AttemptEnd::CallerLeft:
        return "caller left";
    case AttemptEnd::NotConnected:
        break;
    }
    return "not connected";
}

std::string entryName(unsigned entry) { return "entry-" + std::to_string(entry + 1); }

std::string agentName(unsigned engine) { return "agent-" + std::to_string(engine + 1); }

}
