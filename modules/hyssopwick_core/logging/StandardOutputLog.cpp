#include "StandardOutputLog.h"

#include <fcntl.h>
#include <glog/logging.h>
#include <unistd.h>

namespace hyssopwick {

namespace {
    // Holds the lines of a few seconds of one node at full load.
    constexpr std::size_t maxBufferedBytes = 256 * 1024;
}

struct StandardOutputLog::State : google::LogSink {
    std::string buffer;
    std::uint64_t dropped = 0;
    std::uint64_t reportedDrops = 0;

    void send(google::LogSeverity, const char*, const char*, int, const google::LogMessageTime&, const char* message, std::size_t size) override
    {
        if (buffer.size() + size + 1 > maxBufferedBytes) {
            ++dropped;
            return;
        }
        buffer.append(message, size);
        buffer += '\n';
    }
};

StandardOutputLog::StandardOutputLog()
    : m_state(std::make_unique<State>())
{
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

StandardOutputLog::~StandardOutputLog() { flush(); }

EventLog::Sink StandardOutputLog::sink()
{
    return [this](const std::string& line) { LOG_TO_SINK_BUT_NOT_TO_LOGFILE(m_state.get(), INFO) << line; };
}

void StandardOutputLog::flush()
{
    auto& state = *m_state;
    if (state.dropped != state.reportedDrops) {
        state.buffer += "event=log.dropped lines=" + std::to_string(state.dropped - state.reportedDrops) + "\n";
        state.reportedDrops = state.dropped;
    }
    while (!state.buffer.empty()) {
        const auto written = ::write(STDOUT_FILENO, state.buffer.data(), state.buffer.size());
        if (written <= 0)
            return;
        state.buffer.erase(0, static_cast<std::size_t>(written));
    }
}

bool StandardOutputLog::hasUnwritten() const { return !m_state->buffer.empty(); }

std::uint64_t StandardOutputLog::droppedLines() const { return m_state->dropped; }

}
