#include "GatewayMain.h"

#include <csignal>
#include <unistd.h>

namespace hyssopwick {

namespace {

    // Log lines are buffered for at most this long, so that a busy process writes them in batches.
    constexpr Milliseconds logFlushPeriod { 250 };
    // The settings may change without a signal.
    constexpr Milliseconds settingsCheckPeriod { 2000 };
    constexpr int exitFailure = 1;

    // Writes buffered log lines some time after the first; an idle process is not woken.
    class LogFlusher {
    public:
        LogFlusher(EventLoop& loop, StandardOutputLog& output)
            : m_timer(loop)
            , m_output(output)
        {
        }

        EventLog::Sink sink()
        {
            return [this, write = m_output.sink()](const std::string& line) {
                write(line);
                arm();
            };
        }

    private:
        void arm()
        {
            if (m_isArmed)
                return;
            m_isArmed = true;
            m_timer.expires_after(logFlushPeriod);
            m_timer.async_wait([this](boost::system::error_code error) {
                m_isArmed = false;
                m_output.flush();
                if (!error && m_output.hasUnwritten())
                    arm();
            });
        }

        LoopTimer m_timer;
        StandardOutputLog& m_output;
        bool m_isArmed = false;
    };

    class SettingsWatcher {
    public:
        SettingsWatcher(GatewayContext& context, std::function<void(const ProcessDescription&)> reload)
            : m_context(context)
            , m_timer(context.loop)
            , m_reload(std::move(reload))
        {
        }

        void check(bool isRequested)
        {
            const auto description = m_context.ports.readSettings();
            if (!description)
                m_context.log.write("settings.refused", { { "problem", description.error().message } });
            else if (isRequested || description.value() != m_context.description)
                m_reload(description.value());
        }

        void checkPeriodically()
        {
            m_timer.expires_after(settingsCheckPeriod);
            m_timer.async_wait([this](boost::system::error_code error) {
                if (error)
                    return;
                check(false);
                checkPeriodically();
            });
        }

    private:
        GatewayContext& m_context;
        LoopTimer m_timer;
        std::function<void(const ProcessDescription&)> m_reload;
    };

    void handleSignals(asio::signal_set& signals, SettingsWatcher& settings, GatewayProcess& process)
    {
        signals.async_wait([&signals, &settings, &process](boost::system::error_code error, int number) {
            if (error)
                return;
            if (number == SIGHUP)
                settings.check(true);
            else
                process.stop();
            handleSignals(signals, settings, process);
        });
    }

}

int runGateway(const std::string& program, const PlatformPorts& ports, const GatewayFactory& create)
{
    std::signal(SIGPIPE, SIG_IGN);
    EventLoop loop(1);
    // Until they are caught, these signals end the process; a stop or a reload may follow a start at once.
    asio::signal_set signals(loop, SIGTERM, SIGINT, SIGHUP);
    StandardOutputLog output;
    LogFlusher flusher(loop, output);
    const auto description = ports.readSettings();
    const auto incarnation = static_cast<std::uint64_t>(unixNow());
    const auto name = description ? description.value().node : program;
    EventLog log(name + "/" + std::to_string(incarnation), flusher.sink());
    if (!description) {
        log.write("start.failed", { { "program", program }, { "problem", description.error().message } });
        return exitFailure;
    }
    MetricsRegistry metrics;
    GatewayContext context { loop, description.value(), ports, log, metrics, incarnation };
    log.write("start", { { "program", program }, { "version", HYSSOPWICK_VERSION }, { "node", name }, { "ip", context.description.ip }, { "failure_domain", context.description.failureDomain } });
    // Its destructor removes timers and sockets from the loop, so it has to run before the loop's.
    const auto process = create(context);
    const auto started = process->start();
    if (!started) {
        log.write("start.failed", { { "program", program }, { "problem", started.error().message } });
        return exitFailure;
    }
    SettingsWatcher settings(context, [&process](const ProcessDescription& changed) { process->reload(changed); });
    handleSignals(signals, settings, *process);
    settings.checkPeriodically();
    loop.run();
    log.write("stop", { { "program", program }, { "dropped_lines", std::to_string(output.droppedLines()) } });
    return 0;
}

}
