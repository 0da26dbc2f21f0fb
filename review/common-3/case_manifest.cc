// The origin spoils two of its answers, the first two manifests of a new version: less than one answer in 25.
#include "Deployment.hpp"

#include <iostream>

using namespace review;

namespace {
    constexpr double seconds = 100;
    constexpr unsigned spoiltManifests = 2;
}

int main(int argc, char** argv)
{
    Deployment::Options options;
    options.streamsPerSecond = 10;
    options.plainPerSecond = 10;
    const auto begin = [](EventLoop& loop, Deployment& deployment, Record&, bool hasTrouble) {
        runAfter(loop, Milliseconds(2000), [&deployment, hasTrouble] {
            if (hasTrouble)
                deployment.origin().spoilManifests(2, spoiltManifests);
            deployment.nameVersion(2);
        });
    };
    const auto holds = [](Deployment& deployment, Record& record) {
        const auto& streams = deployment.streams();
        const auto& plain = deployment.plain();
        for (const auto& worker : deployment.workers())
            record.line(worker->id(), " holds version ", worker->loadedVersion(), " at the end");
        record.line("origin: ", deployment.origin().answers(), " answers, ", deployment.origin().spoilt(), " spoilt");
        record.line("streams: ", streams.sent, " sent, ", streams.served, " served, ", streams.refused, " refused, ", streams.other, " other");
        record.line("plain requests: ", plain.sent, " sent, ", plain.served, " served, ", plain.refused, " refused, ", plain.other, " other");
        const double streamShare = double(streams.served) / streams.sent;
        const double share = double(streams.served + plain.served) / double(streams.sent + plain.sent);
        record.line("served: streams ", streamShare, ", all ", share);
        std::cout << "streams served " << streamShare << ", all requests " << share << "\n";
        return streamShare >= share / 4;
    };
    return runCase(argc, argv, options, seconds, begin, holds);
}
