#include "Auditor.h"

#include "../promises/AnswerPromise.h"
#include "../promises/AtMostOncePromise.h"
#include "../promises/ConfigurationPromise.h"
#include "../promises/LeavingPromise.h"
#include "../promises/NotRunPromise.h"
#include "../promises/PlannedStopPromise.h"
#include "../promises/WeightsPromise.h"
#include "LogReader.h"

#include <fstream>
#include <sstream>
#include <tuple>

namespace hyssopwick {

struct Auditor::State {
    PromiseResult integrity { "the logs are whole and unaltered" };
    LogReader reader { integrity };
    std::tuple<WeightsPromise, AnswerPromise, NotRunPromise, AtMostOncePromise, LeavingPromise, PlannedStopPromise, ConfigurationPromise> promises;
    AuditReport report;
    std::vector<std::string> logTexts; // of logs given as text; "" for files

    void readLines(std::istream& in);
    void collectEvidence(const PromiseResult& promise);
    std::string lineAt(const EventLocation& location) const;
};

Auditor::Auditor()
    : m_state(std::make_unique<State>())
{
}

Auditor::~Auditor() = default;

void Auditor::State::readLines(std::istream& in)
{
    EventLocation location { static_cast<std::uint32_t>(report.files.size() - 1), 0 };
    std::string line;
    while (std::getline(in, line)) {
        // Ignores a last line without a line end: its process was killed while writing it.
        if (in.eof())
            break;
        ++location.line;
        const auto event = reader.read(line, location);
        if (!event)
            continue;
        ++report.events;
        std::apply([&](auto&... promise) { (promise.record(*event), ...); }, promises);
    }
}

Outcome<void> Auditor::addFile(const std::string& file)
{
    std::ifstream in(file, std::ios::binary);
    if (!in)
        return failure(ErrorCode::NotFound, file + " cannot be read");
    m_state->report.files.push_back(file);
    m_state->logTexts.emplace_back();
    m_state->readLines(in);
    return success();
}

void Auditor::addText(const std::string& name, const std::string& text)
{
    m_state->report.files.push_back(name);
    m_state->logTexts.push_back(text);
    std::istringstream in(text);
    m_state->readLines(in);
}

std::string Auditor::State::lineAt(const EventLocation& location) const
{
    std::ifstream file;
    std::istringstream memory(logTexts[location.file]);
    if (logTexts[location.file].empty())
        file.open(report.files[location.file], std::ios::binary);
    std::istream& in = logTexts[location.file].empty() ? static_cast<std::istream&>(file) : memory;
    std::string line;
    for (std::uint32_t number = 0; number < location.line; ++number)
        std::getline(in, line);
    return line;
}

void Auditor::State::collectEvidence(const PromiseResult& promise)
{
    for (const auto* promiseCase : { &promise.firstBroken, &promise.firstUndecided }) {
        if (!*promiseCase)
            continue;
        for (const auto& location : (*promiseCase)->events)
            report.evidence[locationText(report, location)] = lineAt(location);
    }
}

AuditReport Auditor::finish()
{
    auto& state = *m_state;
    state.report.nonEventLines = state.reader.nonEventLines();
    std::apply([&](auto&... promise) { (state.report.promises.push_back(promise.finish()), ...); }, state.promises);
    state.report.promises.push_back(state.integrity);
    for (const auto& promise : state.report.promises)
        state.collectEvidence(promise);
    return state.report;
}

}
