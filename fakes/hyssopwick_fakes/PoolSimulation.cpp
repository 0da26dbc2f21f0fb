#include "PoolSimulation.h"

#include <algorithm>
#include <cmath>
#include <memory>

namespace hyssopwick {

namespace {

    // Longest answer relative to the mean parameter, from the platform's data sheets. The mean of
    // the capped distribution is smaller by cappedMean.
    constexpr double maxAnswerRatio = 2.5;
    const double cappedMean = 1 - std::exp(-maxAnswerRatio);
    constexpr Milliseconds pollPeriod { 80 }; // of AgentGateway
    constexpr Milliseconds updatePeriod { 200 };
    constexpr int minReportedChange = 3;
    constexpr Milliseconds subscriptionCheckPeriod { 200 }; // of EngineSubscriptions

    struct Call {
        std::size_t outcome = 0; // index in the result
        std::size_t entry = 0;
        CallSize size;
        TimePoint arrivedAt;
        TimePoint deadline;
        int engine = -1;
        bool hasReturned = false;
    };

    struct Entry {
        Entry(std::uint64_t seed, const std::string& name, const std::string& region)
            : pool(seed)
            , queue(pool)
            , subset(name, region)
        {
        }

        EnginePool pool;
        CallQueue queue;
        EngineSubset subset;
        SubscriptionSchedule schedule;
        std::vector<std::string> engines; // that it uses
        TimePoint subscribeAt;
        bool isToAdvance = false;
    };

    struct Engine {
        EngineModel model;
        EngineDivision division;
        PrefillEstimate prefillEstimate;
        std::vector<std::size_t> subscribers;
        TimePoint pollAt;
        TimePoint updateAt;
        int reportedCalls = 0;
    };

    struct UpdateMessage {
        TimePoint at;
        std::size_t engine;
        std::size_t entry;
        EngineReport report;
        EngineStatement statement;
    };

    struct SubscriptionMessage {
        TimePoint at;
        std::size_t engine;
        std::size_t entry;
        EngineDemand demand;
    };

    class PoolSimulation {
    public:
        PoolSimulation(const PoolSimulationSettings& settings, std::uint64_t seed)
            : m_settings(settings)
            , m_random(seed)
            , m_start(TimePoint() + std::chrono::hours(1))
            , m_dueArrivals(settings.kinds.size())
        {
            addEngines();
            addEntries();
        }

        PoolSimulationResult run()
        {
            const auto end = m_start + m_settings.length + m_settings.callerTimeout;
            for (auto now = m_start; now < end; now += Milliseconds(1))
                step(now);
            return std::move(m_result);
        }

    private:
        void addEngines()
        {
            for (std::size_t i = 0; i < m_settings.engines; ++i) {
                m_engineNames.push_back("engine" + std::to_string(i));
                m_engineRegions[m_engineNames.back()] = regionName(i);
                m_engines.push_back({ EngineModel(m_settings.speed, m_start), {}, {}, {}, m_start + Milliseconds(m_random.below(pollPeriod.count())), m_start, 0 });
            }
        }

        void addEntries()
        {
            std::map<std::string, std::string> regions;
            const unsigned count = m_settings.usesCommonQueue ? 1 : m_settings.entries;
            for (std::size_t i = 0; i < count; ++i)
                regions[entryName(i)] = regionName(i);
            for (std::size_t i = 0; i < count; ++i) {
                m_entries.push_back(std::make_unique<Entry>(m_random.next(), entryName(i), regionName(i)));
                auto& entry = *m_entries.back();
                entry.subset.update(regions, m_engineRegions);
                const auto used = m_settings.usesCommonQueue ? std::set<std::string>(m_engineNames.begin(), m_engineNames.end()) : entry.subset.engines();
                entry.engines.assign(used.begin(), used.end());
                entry.pool.setSpeed(m_settings.speed);
                entry.pool.setEngines(used);
                entry.queue.setEntryCount(m_settings.usesCommonQueue ? 1 : entry.subset.entriesPerEngine());
                entry.queue.setExpectedEngines(std::nullopt, used.size());
                entry.subscribeAt = m_start + Milliseconds(m_random.below(SubscriptionSchedule::period.count()));
                for (const auto& name : used)
                    m_engines[engineIndex(name)].subscribers.push_back(i);
            }
            for (auto& engine : m_engines)
                engine.division.setExpectedSubscribers(double(engine.subscribers.size()));
        }

        std::string regionName(std::size_t index) const { return "region" + std::to_string(index % m_settings.regions); }
        static std::string entryName(std::size_t index) { return "entry" + std::to_string(index); }
        static std::size_t engineIndex(const std::string& name) { return std::stoul(name.substr(6)); }

        void step(TimePoint now)
        {
            addArrivals(now);
            addReturns(now);
            for (std::size_t i = 0; i < m_engines.size(); ++i) {
                for (const auto& event : m_engines[i].model.advance(now))
                    handleEvent(event);
                if (m_engines[i].pollAt <= now)
                    poll(i, now);
            }
            deliver(now);
            for (std::size_t i = 0; i < m_entries.size(); ++i) {
                auto& entry = *m_entries[i];
                const auto wake = entry.queue.nextWake();
                if (entry.queue.size() > 0 && (entry.isToAdvance || (wake && *wake <= now)))
                    advanceQueue(entry, now);
                entry.isToAdvance = false;
                if (entry.subscribeAt <= now)
                    subscribe(i, now);
            }
            expireCalls(now);
        }

        double movedPart(TimePoint now) const
        {
            const auto elapsed = now - m_start;
            if (elapsed <= m_settings.moveFrom)
                return 0;
            if (elapsed >= m_settings.moveUntil)
                return m_settings.movedShare;
            return m_settings.movedShare * double((elapsed - m_settings.moveFrom).count()) / double(TimePoint::duration(m_settings.moveUntil - m_settings.moveFrom).count());
        }

        std::size_t randomEntry(TimePoint now)
        {
            constexpr std::size_t receivingPart = 3;
            const bool isMoved = m_settings.movedShare > 0 && m_random.unit() < movedPart(now);
            return m_random.below(isMoved ? std::max<std::size_t>(1, m_entries.size() / receivingPart) : m_entries.size());
        }

        void addArrivals(TimePoint now)
        {
            const auto elapsed = now - m_start;
            if (elapsed >= m_settings.length)
                return;
            const bool isBurst = elapsed >= m_settings.burstFrom && elapsed < m_settings.burstUntil;
            for (std::size_t kind = 0; kind < m_settings.kinds.size(); ++kind) {
                const auto& description = m_settings.kinds[kind];
                const double factor = isBurst && kind == m_settings.burstKind ? m_settings.burstFactor : 1;
                m_dueArrivals[kind] += description.callsPerSecond / 1000 * factor * -std::log(1 - m_random.unit());
                for (; m_dueArrivals[kind] >= 1; m_dueArrivals[kind] -= 1)
                    addCall(kind, now);
            }
        }

        // Prompt sizes are uniform; answer sizes have a long tail (exponential, capped).
        void addCall(std::size_t kind, TimePoint now)
        {
            const auto& description = m_settings.kinds[kind];
            auto& call = m_calls[++m_lastId];
            call.outcome = m_result.calls.size();
            call.entry = randomEntry(now);
            call.size.promptTokens = description.promptTokens * (0.4 + 1.2 * m_random.unit());
            call.size.answerTokens = description.answerTokens / cappedMean * std::min(maxAnswerRatio, -std::log(1 - m_random.unit()));
            call.arrivedAt = now;
            call.deadline = now + m_settings.callerTimeout;
            m_result.calls.push_back({ kind, std::chrono::duration_cast<Milliseconds>(now - m_start), call.size.promptTokens });
            enqueue(m_lastId, now);
        }

        void enqueue(std::uint64_t id, TimePoint now)
        {
            const auto& call = m_calls.at(id);
            const auto& kind = m_settings.kinds[m_result.calls[call.outcome].kind];
            auto& entry = *m_entries[call.entry];
            entry.queue.add({ id, { call.size.promptTokens, kind.answerTokens }, kind.priority, call.arrivedAt + kind.objective, call.deadline, {}, false }, now);
            entry.isToAdvance = true;
        }

        void addReturns(TimePoint now)
        {
            while (!m_returns.empty() && m_returns.begin()->first <= now) {
                const auto id = m_returns.begin()->second;
                m_returns.erase(m_returns.begin());
                const auto call = m_calls.find(id);
                if (call == m_calls.end())
                    continue;
                call->second.entry = randomEntry(now);
                enqueue(id, now);
            }
        }

        void poll(std::size_t index, TimePoint now)
        {
            auto& engine = m_engines[index];
            engine.pollAt = now + pollPeriod;
            auto report = engine.model.report();
            report.pendingPromptTokens = engine.prefillEstimate.record(report, m_settings.speed, now);
            const int calls = int(report.runningCalls + report.waitingCalls);
            if (engine.updateAt > now && std::abs(calls - engine.reportedCalls) < minReportedChange)
                return;
            engine.updateAt = now + updatePeriod;
            engine.reportedCalls = calls;
            engine.division.advance(now);
            engine.division.setOffset(m_random.unit());
            for (const auto subscriber : engine.subscribers) {
                EngineStatement statement;
                if (m_settings.isDivided)
                    statement = engine.division.statementFor(entryName(subscriber));
                if (!m_settings.usesLevel)
                    statement.level.reset();
                ++m_result.updates;
                if (m_random.unit() >= m_settings.messageLoss)
                    m_updates.push_back({ now + m_settings.messageDelay, index, subscriber, report, statement });
            }
        }

        void subscribe(std::size_t index, TimePoint now)
        {
            auto& entry = *m_entries[index];
            entry.subscribeAt = now + subscriptionCheckPeriod;
            const auto demand = entry.queue.demand(now).dividedBy(double(entry.engines.size()));
            for (const auto& name : entry.schedule.due(entry.engines, demand, now)) {
                ++m_result.subscriptions;
                if (m_random.unit() >= m_settings.messageLoss)
                    m_subscriptions.push_back({ now + m_settings.messageDelay, engineIndex(name), index, demand });
            }
        }

        void deliver(TimePoint now)
        {
            for (; !m_updates.empty() && m_updates.front().at <= now; m_updates.pop_front()) {
                const auto& update = m_updates.front();
                auto& entry = *m_entries[update.entry];
                entry.pool.recordReport(m_engineNames[update.engine], update.report, now, update.statement);
                entry.isToAdvance = true;
            }
            for (; !m_subscriptions.empty() && m_subscriptions.front().at <= now; m_subscriptions.pop_front()) {
                const auto& subscription = m_subscriptions.front();
                m_engines[subscription.engine].division.recordSubscription(entryName(subscription.entry), subscription.demand, now);
            }
        }

        void advanceQueue(Entry& entry, TimePoint now)
        {
            const auto decisions = entry.queue.advance(now);
            for (const auto& sent : decisions.sent) {
                auto& call = m_calls.at(sent.call);
                call.engine = int(engineIndex(sent.upstream));
                m_engines[static_cast<std::size_t>(call.engine)].model.send(sent.call, call.size, now);
            }
            for (const auto id : decisions.refused)
                refuse(id, decisions.retryAfterOf(id), now);
        }

        void refuse(std::uint64_t id, Milliseconds retryAfter, TimePoint now)
        {
            auto& call = m_calls.at(id);
            auto& outcome = m_result.calls[call.outcome];
            if (m_settings.callersReturn && !call.hasReturned) {
                call.hasReturned = true;
                outcome.hasReturned = true;
                constexpr int maxShareOfTime = 3;
                m_returns.emplace(now + std::min<TimePoint::duration>(retryAfter, (call.deadline - now) / maxShareOfTime), id);
                return;
            }
            outcome.isRefusedAgain = call.hasReturned;
            m_calls.erase(id);
        }

        void handleEvent(const EngineModel::Event& event)
        {
            const auto found = m_calls.find(event.call);
            if (found == m_calls.end())
                return;
            auto& call = found->second;
            auto& entry = *m_entries[call.entry];
            auto& outcome = m_result.calls[call.outcome];
            if (!event.isEnd) {
                outcome.isInTime = event.at <= call.arrivedAt + m_settings.kinds[outcome.kind].objective;
                entry.pool.recordFirstEvent(event.call);
                return;
            }
            outcome.isServed = true;
            entry.pool.recordEnd(event.call, event.at);
            entry.isToAdvance = true;
            m_calls.erase(found);
        }

        void expireCalls(TimePoint now)
        {
            for (auto call = m_calls.begin(); call != m_calls.end() && call->second.deadline <= now;) {
                auto& entry = *m_entries[call->second.entry];
                entry.queue.remove(call->first);
                entry.pool.recordEnd(call->first, now);
                if (call->second.engine >= 0)
                    m_engines[static_cast<std::size_t>(call->second.engine)].model.cancel(call->first);
                m_result.calls[call->second.outcome].isInTime = false;
                call = m_calls.erase(call);
            }
        }

        PoolSimulationSettings m_settings;
        RandomSource m_random;
        TimePoint m_start;
        std::vector<std::unique_ptr<Entry>> m_entries;
        std::vector<std::string> m_engineNames;
        std::map<std::string, std::string> m_engineRegions;
        std::vector<Engine> m_engines;
        std::deque<UpdateMessage> m_updates; // in order of arrival
        std::deque<SubscriptionMessage> m_subscriptions;
        std::map<std::uint64_t, Call> m_calls;
        std::multimap<TimePoint, std::uint64_t> m_returns; // refused calls, by the time of their callers' return
        std::vector<double> m_dueArrivals; // by kind
        std::uint64_t m_lastId = 0;
        PoolSimulationResult m_result;
    };

    double partOf(const std::vector<CallOutcome>& calls, const PoolSimulationResult::Filter& filter, const PoolSimulationResult::Filter& isCounted)
    {
        const auto all = std::count_if(calls.begin(), calls.end(), filter);
        const auto counted = std::count_if(calls.begin(), calls.end(), [&](const CallOutcome& call) { return filter(call) && isCounted(call); });
        return all == 0 ? 0 : double(counted) / double(all);
    }

}

double PoolSimulationResult::shareInTime(const Filter& filter) const
{
    return partOf(calls, filter, [](const CallOutcome& call) { return call.isInTime; });
}

double PoolSimulationResult::shareServed(const Filter& filter) const
{
    return partOf(calls, filter, [](const CallOutcome& call) { return call.isServed; });
}

double PoolSimulationResult::shareRefusedAgain() const
{
    return partOf(
        calls, [](const CallOutcome& call) { return call.hasReturned; }, [](const CallOutcome& call) { return call.isRefusedAgain; });
}

PoolSimulationResult simulatePool(const PoolSimulationSettings& settings, std::uint64_t seed) { return PoolSimulation(settings, seed).run(); }

}
