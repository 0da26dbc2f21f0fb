#include "EventLog.h"

#include "../values/Digest.h"
#include "../values/TimePoint.h"

#include <glog/logging.h>
#include <mutex>

namespace hyssopwick {

namespace {
    constexpr const char* eventFormatVersion = "1";
}

struct EventLog::State {
    std::string process;
    Sink sink;
    std::mutex mutex;
    std::uint64_t sequence = 0;
    std::string chain;
};

EventLog::EventLog(std::string process, Sink sink)
    : m_state(std::make_unique<State>())
{
    m_state->process = std::move(process);
    m_state->sink = std::move(sink);
}

EventLog::~EventLog() = default;

const std::string& EventLog::process() const { return m_state->process; }

void EventLog::write(const std::string& event, EventFields fields)
{
    std::lock_guard<std::mutex> lock(m_state->mutex);
    EventFields all { { "v", eventFormatVersion }, { "process", m_state->process },
        { "seq", std::to_string(m_state->sequence++) }, { "at", std::to_string(unixNow()) }, { "event", event } };
    all.insert(all.end(), std::make_move_iterator(fields.begin()), std::make_move_iterator(fields.end()));
    const auto line = formatEventLine(all);
    m_state->chain = eventChain(m_state->chain, line);
    m_state->sink(line + " chain=" + m_state->chain);
}

EventLog::Sink glogSink()
{
    return [](const std::string& line) { LOG(INFO) << line; };
}

std::string eventChain(const std::string& previousChain, const std::string& lineWithoutChain)
{
    return Digest::of(previousChain + lineWithoutChain).hex().substr(0, 16);
}

}
