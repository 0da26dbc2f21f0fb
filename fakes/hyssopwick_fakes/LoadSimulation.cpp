#include "LoadSimulation.h"

#include <algorithm>
#include <cmath>
#include <memory>

namespace hyssopwick {

namespace {

    // Longest answer relative to the typical one, from the platform's data sheets.
    constexpr double maxAnswerRatio = 2.5;
    // Over which completed calls are counted after an outage.
    constexpr Milliseconds settledPeriod { 3000 };

    struct SimulatedCall {
        std::size_t entry = 0;
        CallSize size;
        TimePoint arrivedAt;
        TimePoint deadline;
        TimePoint sentAt;
        bool hasReturned = false;
        double predictedMilliseconds = 0;
        int engine = -1;
        bool hasFirstEvent = false;
        bool isInTime = false;
        bool isEnded = false;
    };

    struct Entry {
        explicit Entry(std::uint64_t seed)
            : pool(seed)
            , queue(pool)
        {
        }

        EnginePool pool;
        CallQueue queue;
    };

    class LoadSimulation {
    public:
        LoadSimulation(const LoadSimulationSettings& settings, std::uint64_t seed)
            : m_settings(settings)
            , m_random(seed)
            , m_start(TimePoint() + std::chrono::hours(1))
        {
            for (unsigned i = 0; i < settings.entries; ++i)
                m_entries.push_back(newEntry(settings.enginesFrom));
            for (unsigned i = 0; i < settings.engines; ++i) {
                m_engineNames.push_back("engine" + std::to_string(i));
                m_engines.emplace_back(settings.speed, m_start);
                m_prefillEstimates.emplace_back();
                m_pollAt.push_back(m_start + Milliseconds(m_random.below(static_cast<std::uint64_t>(settings.pollPeriod.count()))));
                m_reportAt.push_back(m_start);
                m_reportedCalls.push_back(0);
            }
        }

        LoadSimulationResult run()
        {
            const auto end = m_start + m_settings.length + m_settings.deadline;
            for (auto now = m_start; now < end; now += Milliseconds(1))
                step(now);
            std::sort(m_predictionErrors.begin(), m_predictionErrors.end());
            if (!m_predictionErrors.empty())
                m_result.medianPredictionError = m_predictionErrors[m_predictionErrors.size() / 2];
            return m_result;
        }

    private:
        std::unique_ptr<Entry> newEntry(Milliseconds enginesFrom)
        {
            auto entry = std::make_unique<Entry>(m_random.next());
            entry->pool.setSpeed(m_settings.speed);
            entry->queue.setEntryCount(m_settings.entries);
            entry->queue.setExpectedEngines(m_start + enginesFrom, m_settings.engines);
            return entry;
        }

        void step(TimePoint now)
        {
            if (now == m_start + m_settings.enginesFrom) {
                for (auto& entry : m_entries)
                    entry->pool.setEngines({ m_engineNames.begin(), m_engineNames.end() });
            }
            if (m_settings.outageUntil > m_settings.outageFrom)
                applyOutage(now);
            addArrivals(now);
            addReturns(now);
            for (std::size_t i = 0; i < m_engines.size(); ++i) {
                for (const auto& event : m_engines[i].advance(now))
                    handleEvent(event);
                if (m_pollAt[i] > now)
                    continue;
                m_pollAt[i] = now + m_settings.pollPeriod;
                auto report = m_engines[i].report();
                report.pendingPromptTokens = m_prefillEstimates[i].record(report, m_settings.speed, now);
                const int calls = int(report.runningCalls + report.waitingCalls);
                if (m_reportAt[i] > now && std::abs(calls - m_reportedCalls[i]) < m_settings.minReportedChange)
                    continue;
                m_reportAt[i] = now + m_settings.reportPeriod;
                m_reportedCalls[i] = calls;
                for (auto& entry : m_entries)
                    entry->pool.recordReport(m_engineNames[i], report, now);
            }
            for (std::size_t i = 0; i < m_entries.size(); ++i) {
                if (m_settings.usesQueue && m_entries[i]->queue.size() > 0)
                    advanceQueue(i, now);
            }
            expireCalls(now);
        }

        void addArrivals(TimePoint now)
        {
            const auto elapsed = now - m_start;
            if (elapsed >= m_settings.length)
                return;
            const bool isBurst = elapsed >= m_settings.burstFrom && elapsed < m_settings.burstUntil;
            m_dueArrivals += m_settings.callsPerSecond / 1000 * (isBurst ? m_settings.burstFactor : 1) * -std::log(1 - m_random.unit());
            for (; m_dueArrivals >= 1; m_dueArrivals -= 1) {
                const auto id = ++m_lastId;
                auto& call = m_calls[id];
                call.entry = m_random.below(m_entries.size());
                call.arrivedAt = now;
                // Prompt sizes are uniform; answer sizes have a long tail (exponential, capped).
                call.size.promptTokens = m_settings.speed.typicalPromptTokens * (0.4 + 1.2 * m_random.unit());
                call.size.answerTokens = m_settings.speed.typicalAnswerTokens * std::min(maxAnswerRatio, -std::log(1 - m_random.unit()));
                const double patience = m_settings.shortestPatience < 1 ? m_settings.shortestPatience + (1 - m_settings.shortestPatience) * m_random.unit() : 1;
                call.deadline = now + std::chrono::duration_cast<Milliseconds>(m_settings.deadline * patience);
                ++m_result.calls;
                auto& entry = *m_entries[call.entry];
                if (m_settings.usesQueue) {
                    enqueue(id, now);
                } else if (const auto choice = entry.pool.choose(call.size, {}, now)) {
                    entry.pool.recordSend(choice->upstream, id, call.size, now);
                    send(id, choice->upstream, choice->prediction, now);
                } else {
                    refuse(id, Milliseconds(0), now);
                }
            }
        }

        void enqueue(std::uint64_t id, TimePoint now)
        {
            const auto& call = m_calls.at(id);
            m_entries[call.entry]->queue.add({ id, { call.size.promptTokens, m_settings.speed.typicalAnswerTokens }, 0, (m_settings.returnsCountAsNew ? now : call.arrivedAt) + m_settings.objective, call.deadline, {}, false, {}, "route", m_settings.callersStateTimeouts ? Milliseconds(millisecondsBetween(now, call.deadline)) : Milliseconds(0) }, now);
        }

        void addReturns(TimePoint now)
        {
            while (!m_returns.empty() && m_returns.begin()->first <= now) {
                const auto id = m_returns.begin()->second;
                m_returns.erase(m_returns.begin());
                if (m_calls.count(id) != 0)
                    enqueue(id, now);
            }
        }

        // The engines end their calls and serve again, empty, after the outage.
        void applyOutage(TimePoint now)
        {
            const bool begins = now == m_start + m_settings.outageFrom;
            const bool ends = now == m_start + m_settings.outageUntil;
            if (!begins && !ends)
                return;
            for (auto& entry : m_entries) {
                if (begins && m_settings.entriesRestart)
                    entry = newEntry(m_settings.outageUntil);
                entry->pool.setEngines(begins ? std::set<std::string>() : std::set<std::string>(m_engineNames.begin(), m_engineNames.end()));
                entry->queue.setExpectedEngines(m_start + m_settings.outageUntil, m_settings.engines);
            }
            for (auto call = m_calls.begin(); begins && call != m_calls.end();) {
                if (call->second.engine < 0) {
                    if (m_settings.entriesRestart && m_entries[call->second.entry]->queue.size() == 0 && !call->second.hasReturned) {
                        call->second.hasReturned = true;
                        ++m_result.returned;
                        m_returns.emplace(now + Milliseconds(500 + m_random.below(1000)), call->first);
                    }
                    ++call;
                    continue;
                }
                m_engines[static_cast<std::size_t>(call->second.engine)].cancel(call->first);
                m_entries[call->second.entry]->pool.recordEnd(call->first, now);
                ++m_result.broken;
                call = m_calls.erase(call);
            }
        }

        void advanceQueue(std::size_t index, TimePoint now)
        {
            auto& entry = *m_entries[index];
            const auto decisions = entry.queue.advance(now);
            for (const auto& sent : decisions.sent)
                send(sent.call, sent.upstream, sent.prediction, now);
            for (const auto id : decisions.refused)
                refuse(id, decisions.retryAfter, now);
        }

        void send(std::uint64_t id, const std::string& upstream, const EnginePrediction& prediction, TimePoint now)
        {
            auto& call = m_calls.at(id);
            call.engine = std::stoi(upstream.substr(6));
            call.sentAt = now;
            call.predictedMilliseconds = prediction.firstEventMilliseconds;
            m_engines[static_cast<std::size_t>(call.engine)].send(id, call.size, now);
        }

        void refuse(std::uint64_t id, Milliseconds retryAfter, TimePoint now)
        {
            auto& call = m_calls.at(id);
            if (m_settings.callersReturn && !call.hasReturned) {
                call.hasReturned = true;
                ++m_result.returned;
                constexpr int maxShareOfTime = 3;
                m_returns.emplace(now + std::min<TimePoint::duration>(retryAfter, (call.deadline - now) / maxShareOfTime), id);
                return;
            }
            ++m_result.refused;
            m_result.refusedAgain += call.hasReturned;
            m_result.refusedAfterWaiting += now - m_calls.at(id).arrivedAt > m_settings.objective / 8;
            m_calls.erase(id);
        }

        void handleEvent(const EngineModel::Event& event)
        {
            const auto found = m_calls.find(event.call);
            if (found == m_calls.end())
                return;
            auto& call = found->second;
            auto& pool = m_entries[call.entry]->pool;
            if (!event.isEnd) {
                call.isInTime = event.at <= call.arrivedAt + m_settings.objective;
                const double observedMilliseconds = std::max(1.0, double(millisecondsBetween(call.sentAt, event.at)));
                m_predictionErrors.push_back(std::abs(call.predictedMilliseconds - observedMilliseconds) / observedMilliseconds);
                pool.recordFirstEvent(event.call);
                return;
            }
            ++(call.isInTime ? m_result.inTime : m_result.late);
            const auto settledFrom = m_start + m_settings.outageUntil + m_settings.settledAfter;
            if (event.at >= settledFrom && event.at < settledFrom + settledPeriod) {
                ++m_result.settledCompleted;
                m_result.settledInTime += call.isInTime;
            }
            pool.recordEnd(event.call, event.at);
            m_calls.erase(found);
        }

        void expireCalls(TimePoint now)
        {
            for (auto call = m_calls.begin(); call != m_calls.end();) {
                if (call->second.deadline > now)
                    break; // in order of arrival
                auto& entry = *m_entries[call->second.entry];
                entry.queue.remove(call->first);
                entry.pool.recordEnd(call->first, now);
                if (call->second.engine >= 0)
                    m_engines[static_cast<std::size_t>(call->second.engine)].cancel(call->first);
                ++m_result.timedOut;
                call = m_calls.erase(call);
            }
        }

        LoadSimulationSettings m_settings;
        RandomSource m_random;
        TimePoint m_start;
        std::vector<std::unique_ptr<Entry>> m_entries;
        std::vector<std::string> m_engineNames;
        std::vector<EngineModel> m_engines;
        std::vector<TimePoint> m_pollAt;
        std::vector<TimePoint> m_reportAt;
        std::vector<int> m_reportedCalls;
        std::vector<PrefillEstimate> m_prefillEstimates;
        std::map<std::uint64_t, SimulatedCall> m_calls;
        std::multimap<TimePoint, std::uint64_t> m_returns; // ids of refused calls, by the time of their callers' return
        std::vector<double> m_predictionErrors;
        std::uint64_t m_lastId = 0;
        double m_dueArrivals = 0;
        LoadSimulationResult m_result;
    };

}

LoadSimulationResult simulateLoad(const LoadSimulationSettings& settings, std::uint64_t seed) { return LoadSimulation(settings, seed).run(); }

}
