#include "BenchOptions.h"

#include <fstream>
#include <hyssopwick_audit.h>
#include <sstream>

namespace hyssopwick {

// Reads and checks the events of requests and bookings, a million by default.
nlohmann::json benchAudit(const BenchOptions& options)
{
    const auto eventCount = static_cast<std::size_t>(options.number("events", 1e6));
    std::size_t eventsWritten = 0;
    Auditor auditor;
    double seconds = 0;
    for (int process = 0; eventsWritten < eventCount; ++process) {
        std::string text;
        EventLog log("entry-" + std::to_string(process) + ".1", [&text](const std::string& line) { (text += line) += "\n"; });
        for (int i = 0; i < 10'000 && eventsWritten < eventCount; ++i, eventsWritten += 5) {
            const auto request = "r-" + std::to_string(process) + "-" + std::to_string(i);
            const auto attempt = "a-" + request;
            const auto identity = i % 4 == 0 ? Digest::of(request).shortHex() : "";
            log.write("request.received", { { "request", request }, { "account", "x" }, { "path", "/v1/completions" }, { "identity", identity } });
            log.write("request.attempt", { { "request", request }, { "attempt", attempt }, { "vm", "model-1" }, { "version", "v1" }, { "resume_from", "0" } });
            log.write("door.accepted", { { "attempt", attempt }, { "request", request }, { "version", "v1" }, { "identity", identity } });
            log.write("door.finished", { { "attempt", attempt }, { "result", "ok" }, { "status", "200" } });
            log.write("request.answered", { { "request", request }, { "attempt", attempt }, { "status", "200" }, { "version", "v1" }, { "tokens", "20" } });
        }
        const auto startedAt = monotonicNow();
        auditor.addText("log-" + std::to_string(process), text);
        seconds += std::chrono::duration<double>(monotonicNow() - startedAt).count();
        showProgress(std::to_string(eventsWritten) + " events");
    }
    const auto startedAt = monotonicNow();
    const auto report = auditor.finish();
    seconds += std::chrono::duration<double>(monotonicNow() - startedAt).count();
    return { { "bench", "audit" }, { "events", report.events }, { "seconds", seconds }, { "rss_mb", residentMegabytes() }, { "broken", report.hasBrokenPromise() } };
}

}
