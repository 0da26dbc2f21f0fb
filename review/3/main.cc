// A machine beside a worker freezes between the check of the staged weights and the order to
// load them. A staged piece turns bad meanwhile.
#include "../common/engine.hpp"

using namespace review;

namespace {

constexpr unsigned workerCount = 4;
constexpr unsigned slots = 4;
constexpr double freezeMs = 5000;
constexpr unsigned spoiltPiece = 7;
constexpr double lengthS = 30; // after the version was named

}

int main(int argc, char** argv)
{
    begin(argc, argv);
    EngineFleet fleet(argv[2], workerCount, slots, 1);
    auto& worker = *fleet.workers.front();
    auto& agent = *fleet.agents.front();
    std::atomic<bool> isFrozen { false };
    if (hasTrouble()) {
        worker.onStageRead([&](unsigned number) {
            if (number != pieceCount - 1 || !worker.hasStaged(2) || isFrozen.exchange(true))
                return;
            std::thread([&] {
                sleepMs(20);
                agent.signal(SIGSTOP);
                NOTE("the machine of worker %s freezes", worker.id().c_str());
                sleepMs(500);
                worker.spoil(spoiltPiece);
                sleepMs(freezeMs - 500);
                agent.signal(SIGCONT);
                NOTE("the machine wakes");
            }).detach();
        });
    }
    fleet.start();
    sleepMs(2000);
    fleet.store.set("op/version/" + modelName, { { "model", modelName }, { "version", 2 } });
    NOTE("version 2 is named");
    std::vector<std::thread> threads;
    for (const auto until = seconds() + lengthS; seconds() < until; sleepMs(100))
        threads.emplace_back([&] {
            const auto id = newRequestId();
            const auto response = call(fleet.front(), draft(id, "prompt", "key-of-tenant-a"), 7000);
            NOTE("%s got %u", id.c_str(), response.status);
        });
    for (auto& thread : threads)
        thread.join();
    int onSpoilt = 0;
    int onNew = 0;
    for (const auto& [id, runs] : EngineWorker::runs()) {
        for (const auto& run : runs) {
            onNew += run.version == 2;
            if (run.spoiltPieces == 0)
                continue;
            ++onSpoilt;
            NOTE("WHOLE: worker %s made tokens for %s with %u spoilt pieces", run.worker.c_str(), id.c_str(), run.spoiltPieces);
        }
    }
    const auto text = std::to_string(onNew) + " requests ran on version 2, " + std::to_string(onSpoilt) + " of them with a spoilt piece";
    if (hasTrouble() && !isFrozen)
        finish(couldNotRun, "the check of the staged weights was not seen; " + text);
    finish(onSpoilt > 0 ? broken : held, text);
}
