// A version is named while orders to load the one before it are on their way to the workers.
#include "Deployment.hpp"

#include <iostream>

using namespace review;

namespace {
    constexpr double seconds = 108;
    constexpr Milliseconds pairPeriod { 9500 };
}

int main(int argc, char** argv)
{
    Deployment::Options options;
    options.workers = 16;
    options.streamsPerSecond = 30;
    options.plainPerSecond = 1;
    const char* text = std::getenv("ACCEPT_MS"); // for other values by hand
    const Milliseconds acceptance(text ? std::atoi(text) : 100);
    for (std::uint64_t made = 1; made < 2 + 3 * seconds / std::chrono::duration<double>(pairPeriod).count(); ++made)
        manifest(made); // so that this process is not late when they are asked for
    const auto random = std::make_shared<Random>(std::random_device {}());
    const auto begin = [=](EventLoop& loop, Deployment& deployment, Record&, bool hasTrouble) {
        const auto version = std::make_shared<std::uint64_t>(1);
        const auto pair = std::make_shared<std::function<void()>>();
        *pair = [&loop, &deployment, random, version, pair, hasTrouble] {
            deployment.nameVersion(++*version);
            if (hasTrouble)
                runAfter(loop, fromSeconds(random->between(2, 3)), [&deployment, version] { deployment.nameVersion(++*version); });
            runAfter(loop, pairPeriod, [pair] { (*pair)(); });
        };
        for (const auto& worker : deployment.workers())
            worker->setAcceptance(acceptance);
        runAfter(loop, Milliseconds(2000), [pair] { (*pair)(); });
    };
    const auto holds = [](Deployment& deployment, Record& record) {
        unsigned loads = 0;
        unsigned wrongLoads = 0;
        unsigned wrongTokens = 0;
        for (const auto& worker : deployment.workers()) {
            loads += worker->loads();
            wrongLoads += worker->wrongLoads();
            wrongTokens += worker->wrongTokens();
        }
        const auto& streams = deployment.streams();
        record.line("streams: ", streams.sent, " sent, ", streams.served, " served, ", streams.refused, " refused, ", streams.other, " other");
        record.line(loads, " loads, ", wrongLoads, " with pieces of another version; ", wrongTokens, " events made with them");
        std::cout << loads << " loads, " << wrongLoads << " with pieces of another version; " << wrongTokens << " events made with them\n";
        return wrongTokens == 0;
    };
    return runCase(argc, argv, options, seconds, begin, holds);
}
