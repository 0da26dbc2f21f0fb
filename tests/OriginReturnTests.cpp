#include "TestSupport.h"

#include <hyssopwick_fakes.h>

using namespace hyssopwick;

namespace {

// What happens to the VMs while the origin is away.
enum class Loss {
    None,
    Killed, ///< all restart and still hold their chunks
    Power, ///< all restart without chunks
};

struct Outage {
    std::string name;
    SwarmNetworkSettings settings;
    int vms;
    OriginState state;
    Loss loss;
};

SwarmNetworkSettings weights(std::uint32_t chunks, std::uint64_t chunkBytes, double originMegabits, double vmMegabits)
{
    SwarmNetworkSettings settings;
    settings.chunks = chunks;
    settings.chunkBytes = chunkBytes;
    settings.originBytesPerSecond = originMegabits * 1e6 / 8;
    settings.vmBytesPerSecond = vmMegabits * 1e6 / 8;
    settings.delay = Milliseconds(15);
    return settings;
}

// The large fleet only without a loss and after a power loss, since its runs take long.
std::vector<Outage> outages()
{
    std::vector<Outage> all;
    for (const auto& settings : { weights(64, 32768, 9.9, 8.4), weights(96, 24576, 4.38, 7.3) }) {
        for (const auto state : { OriginState::Refusing, OriginState::Silent }) {
            for (const auto loss : { Loss::None, Loss::Killed, Loss::Power }) {
                const std::string name = std::to_string(settings.chunks) + " chunks, " + (state == OriginState::Silent ? "silent" : "refusing") + ", loss " + std::to_string(static_cast<int>(loss));
                all.push_back({ name, settings, 34, state, loss });
            }
        }
    }
    all.push_back({ "64 chunks, 52 VMs, silent", weights(64, 32768, 9.9, 8.4), 52, OriginState::Silent, Loss::None });
    all.push_back({ "64 chunks, 52 VMs, refusing, power loss", weights(64, 32768, 9.9, 8.4), 52, OriginState::Refusing, Loss::Power });
    return all;
}

// An origin that is away for 6 s in the middle of a transfer.
FakeSwarmNetwork runOutage(const Outage& outage, std::uint64_t seed)
{
    FakeSwarmNetwork network(outage.settings, seed);
    const std::vector<std::string> regions { "north", "central", "south" };
    for (int i = 0; i < outage.vms; ++i) {
        const auto& region = regions[static_cast<std::size_t>(i) % regions.size()];
        network.add({ region + std::to_string(i), region, region + "-a", 1 }, false);
    }
    network.run(Milliseconds(600 + 37 * static_cast<int>(seed)));
    network.setOriginState(outage.state);
    network.run(Milliseconds(4000));
    if (outage.loss != Loss::None)
        network.restartAll(outage.loss == Loss::Killed);
    // Not a multiple of the period of requests, so that the return comes at any phase of it.
    network.run(Milliseconds(2000 + 113 * static_cast<int>(seed)));
    network.setOriginState(OriginState::Serving);
    network.run(Milliseconds(7000));
    return network;
}

}

TEST_GROUP(OriginReturn) {};

// Load: VMs that fetch weights from an origin that is away for 6 s. Guards against requests
// that wait for an answer that never comes, and against VMs that all ask at once when the
// origin is back, so that no transfer ends before its deadline.
TEST(OriginReturn, TheTransferResumesWithinHalfASecondAndNothingIsSentTwice)
{
    std::uint64_t seed = 0;
    for (const auto& outage : outages()) {
        seed = seed % 4 + 1;
        const auto network = runOutage(outage, seed);
        const auto name = outage.name + ", seed " + std::to_string(seed);
        CHECK_TEXT(network.originResumedAfter() >= 0 && network.originResumedAfter() <= 500, name.c_str());
        LONGS_EQUAL_TEXT(0, network.chunksSentTwice(), name.c_str());
        LONGS_EQUAL_TEXT(outage.vms, network.completionTimes().size(), name.c_str());
    }
}

// Load: as above, with a single VM, which finds the return without help. Guards against a
// request that occupies the only VM for its whole deadline.
TEST(OriginReturn, ASingleVmResumesWithinHalfASecond)
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        for (const auto state : { OriginState::Refusing, OriginState::Silent }) {
            const auto network = runOutage({ "", weights(64, 32768, 9.9, 8.4), 1, state, Loss::None }, seed);
            CHECK(network.originResumedAfter() >= 0 && network.originResumedAfter() <= 500);
            LONGS_EQUAL(1, network.completionTimes().size());
        }
    }
}

// Load: a power loss of all VMs while the origin is away, so that nobody has the manifest.
// Guards against a request that is sent before the return and waits for seconds.
TEST(OriginReturn, TheManifestIsAskedForAgainWithinHalfASecond)
{
    const std::vector<std::string> others { "d", "e", "f", "g", "h" };
    for (const auto* self : { "a", "b", "c" }) {
        ManifestRequests requests("model/2", self);
        auto now = testStart();
        auto lastOriginRequest = now;
        bool hasAskedOrigin = false;
        int patient = 0;
        for (int i = 0; i < 60; ++i) {
            const auto request = requests.next(others, now);
            CHECK(request.connectBy <= request.beginBy && request.beginBy <= request.deadline);
            if (request.member.empty()) {
                const bool isPatient = request.beginBy == request.deadline;
                patient += isPatient;
                hasAskedOrigin = true;
                lastOriginRequest = now;
                now = ManifestRequests::retryAt(request.beginBy);
                CHECK(isPatient || now - lastOriginRequest <= Milliseconds(500));
            } else {
                CHECK(request.member != self);
                now = ManifestRequests::retryAt(now + Milliseconds(30));
            }
        }
        CHECK(hasAskedOrigin);
        // An origin that answers late is waited for now and then.
        CHECK(patient > 0);
    }
}
