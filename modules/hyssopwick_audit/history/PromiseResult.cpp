#include "PromiseResult.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>

namespace hyssopwick {

namespace {

    nlohmann::json caseToJson(const AuditReport& report, const PromiseCase& promiseCase)
    {
        auto events = nlohmann::json::array();
        for (const auto& location : promiseCase.events) {
            const auto name = locationText(report, location);
            const auto text = report.evidence.find(name);
            events.push_back({ { "place", name }, { "event", text == report.evidence.end() ? "" : text->second } });
        }
        return { { "detail", promiseCase.detail }, { "events", events } };
    }

    void writeCase(std::ostringstream& out, const AuditReport& report, const PromiseCase& promiseCase)
    {
        out << "    " << promiseCase.detail << "\n";
        for (const auto& location : promiseCase.events) {
            const auto name = locationText(report, location);
            const auto text = report.evidence.find(name);
            out << "      " << name << ": " << (text == report.evidence.end() ? "" : text->second) << "\n";
        }
    }

}

const char* promiseVerdictName(PromiseVerdict verdict)
{
    switch (verdict) {
    case PromiseVerdict::Held:
        return "held";
    case PromiseVerdict::Undecided:
        return "undecided";
    case PromiseVerdict::Broken:
        return "broken";
    }
    return "undecided";
}

void PromiseResult::addBroken(std::string detail, std::vector<EventLocation> events)
{
    ++broken;
    if (!firstBroken)
        firstBroken = PromiseCase { std::move(detail), std::move(events) };
}

void PromiseResult::addUndecided(std::string detail, std::vector<EventLocation> events)
{
    ++undecided;
    if (!firstUndecided)
        firstUndecided = PromiseCase { std::move(detail), std::move(events) };
}

PromiseVerdict PromiseResult::verdict() const
{
    if (broken > 0)
        return PromiseVerdict::Broken;
    return undecided > 0 || checked == 0 ? PromiseVerdict::Undecided : PromiseVerdict::Held;
}

bool AuditReport::hasBrokenPromise() const
{
    return std::any_of(promises.begin(), promises.end(), [](const PromiseResult& promise) { return promise.broken > 0; });
}

std::string locationText(const AuditReport& report, const EventLocation& location)
{
    return report.files.at(location.file) + ":" + std::to_string(location.line);
}

std::string reportToText(const AuditReport& report)
{
    std::ostringstream out;
    out << report.events << " events in " << report.files.size() << " logs\n";
    for (const auto& promise : report.promises) {
        out << "  " << promiseVerdictName(promise.verdict()) << ": " << promise.name << " (" << promise.checked << " cases checked";
        if (promise.broken > 0)
            out << ", " << promise.broken << " broken";
        if (promise.undecided > 0)
            out << ", " << promise.undecided << " undecided";
        out << ")\n";
        if (promise.firstBroken)
            writeCase(out, report, *promise.firstBroken);
        else if (promise.firstUndecided)
            writeCase(out, report, *promise.firstUndecided);
    }
    return out.str();
}

std::string reportToJson(const AuditReport& report)
{
    auto promises = nlohmann::json::array();
    for (const auto& promise : report.promises) {
        nlohmann::json json { { "promise", promise.name }, { "verdict", promiseVerdictName(promise.verdict()) }, { "checked", promise.checked }, { "broken", promise.broken }, { "undecided", promise.undecided } };
        if (promise.firstBroken)
            json["first_broken"] = caseToJson(report, *promise.firstBroken);
        if (promise.firstUndecided)
            json["first_undecided"] = caseToJson(report, *promise.firstUndecided);
        promises.push_back(json);
    }
    return nlohmann::json { { "events", report.events }, { "logs", report.files.size() }, { "promises", promises } }.dump();
}

}
