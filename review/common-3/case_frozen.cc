// Machines with a worker and its agent stand still for a while, one after the other.
#include "Deployment.hpp"

#include <csignal>
#include <iostream>

using namespace review;

namespace {
    constexpr double seconds = 70;
    constexpr Milliseconds freezeTime { 4000 };
    constexpr Milliseconds period { 12000 };
    constexpr Milliseconds leavingTime { 500 };
}

int main(int argc, char** argv)
{
    Deployment::Options options;
    options.workers = 8; // one of them is an eighth
    options.streamsPerSecond = 60;
    const auto begin = [](EventLoop& loop, Deployment& deployment, Record&, bool hasTrouble) {
        for (unsigned number = 0; hasTrouble && number < 5; ++number) {
            runAfter(loop, Milliseconds(4000) + number * period, [&deployment, number] {
                deployment.agents()[number]->freeze(freezeTime);
                deployment.workers()[number]->freeze(now() + freezeTime);
            });
        }
    };
    const auto holds = [](Deployment& deployment, Record& record) {
        unsigned left = 0;
        unsigned atWork = 0;
        for (const auto& worker : deployment.workers()) {
            for (const auto& run : worker->runs()) {
                const auto leftAt = deployment.leftStreams().find(run.id);
                if (leftAt == deployment.leftStreams().end() || leftAt->second + leavingTime > now())
                    continue;
                const bool isAtWork = !run.endedAt || *run.endedAt > leftAt->second + leavingTime;
                ++left;
                atWork += isAtWork;
                record.line(worker->id(), " ", run.id, isAtWork ? " is still at work 0.5 s after its client has left" : " ends in time after its client has left");
            }
        }
        const auto& streams = deployment.streams();
        record.line("streams: ", streams.sent, " sent, ", streams.served, " served, ", streams.refused, " refused, ", streams.other, " other");
        record.line("runs whose clients left: ", left, ", still at work half a second later: ", atWork);
        std::cout << "runs whose clients left: " << left << ", still at work half a second later: " << atWork << "; streams " << streams.sent << ", served " << streams.served << "\n";
        return atWork * 4 <= left;
    };
    return runCase(argc, argv, options, seconds, begin, holds);
}
