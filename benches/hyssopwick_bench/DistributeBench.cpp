#include "BenchOptions.h"

#include <cmath>
#include <hyssopwick_fakes.h>
#include <hyssopwick_node.h>
#include <set>
#include <thread>

#include "../../modules/hyssopwick_node/agent/AgentWeights.h"

namespace hyssopwick {

namespace {

    constexpr unsigned firstPort = 23000;
    constexpr Milliseconds pollPeriod { 5 };
    constexpr Milliseconds runTimeout { 180'000 };

    struct DistributeParameters {
        std::vector<std::pair<std::string, int>> regions; // the first holds the origin
        std::size_t chunks = 64;
        std::size_t chunkBytes = 256 * 1024;
        double uplinkRate = 2'000'000;
        double regionLinkRate = 1'000'000;
        RolloutObjective objective = RolloutObjective::Time;
        double killedShare = 0; // of the VMs, at 40 % of the lower bound of the time
        double corruptShare = 0;
        double stalledShare = 0;
    };

    // One VM: the real transfer code and a real server, without an engine or entry VMs.
    class WeightVm {
    public:
        WeightVm(const VmIdentity& vm, const DistributeParameters& parameters, const std::string& origin)
            : m_parameters(parameters)
            , m_context(
                  settingsOf(vm, parameters, origin), [](const std::string&) {}, 2)
            , m_weights(m_context)
            , m_random(stableHash(vm.id))
        {
            m_weights.registerMethods();
            HttpServerOptions options;
            options.address = vm.address;
            options.threads = 1;
            options.maxRequestBytes = std::size_t(8) << 20;
            m_server = std::make_unique<HttpServer>(options, [this](HttpRequest request, HttpResponderPointer responder) { route(std::move(request), std::move(responder)); });
            m_isListening = m_server->start().has_value();
        }

        ~WeightVm() { stop(); }

        void stop()
        {
            m_server->stop();
            m_context.stop();
        }

        bool isListening() const { return m_isListening; }
        AgentWeights& weights() { return m_weights; }
        MetricsRegistry& metrics() { return m_context.metrics; }
        const VmIdentity& vm() const { return m_context.settings.vm; }
        std::uint64_t incarnation() const { return m_context.incarnation(); }

    private:
        static ProcessSettings settingsOf(const VmIdentity& vm, const DistributeParameters& parameters, const std::string& origin)
        {
            ProcessSettings settings;
            settings.vm = vm;
            settings.listen = vm.address;
            settings.originAddress = origin;
            settings.originRegion = parameters.regions.front().first;
            settings.peerKeyId = "k";
            settings.peerKey = "bench-peer-key-0001";
            settings.uplinkBytesPerSecond = static_cast<std::int64_t>(parameters.uplinkRate);
            settings.downlinkBytesPerSecond = static_cast<std::int64_t>(parameters.uplinkRate);
            settings.regionLinkBytesPerSecond = static_cast<std::int64_t>(parameters.regionLinkRate);
            settings.weightBudgetBytes = std::int64_t(1) << 40;
            return settings;
        }

        void route(HttpRequest request, HttpResponderPointer responder)
        {
            auto shared = std::make_shared<HttpRequest>(std::move(request));
            m_context.pool.submit([this, shared, responder] {
                const bool isChunk = shared->method == "PUT";
                if (isChunk && isStalled(shared->header("x-from")))
                    return;
                if (isChunk && m_parameters.corruptShare > 0 && isCorrupted())
                    shared->body[shared->body.size() / 3] = static_cast<char>(shared->body[shared->body.size() / 3] ^ 4);
                if (isChunk)
                    m_weights.receiveChunk(*shared, *responder);
                else if (shared->path == rpcPath)
                    m_context.endpoint.handle(*shared, *responder);
                else
                    m_weights.serveManifest(*shared, *responder);
            });
        }

        bool isStalled(const std::string& from) const
        {
            return m_parameters.stalledShare > 0 && static_cast<double>(stableHash(from + ">" + m_context.settings.vm.id) % 10'000) < m_parameters.stalledShare * 10'000;
        }

        bool isCorrupted()
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            return m_random.unit() < m_parameters.corruptShare;
        }

        DistributeParameters m_parameters;
        NodeContext m_context;
        AgentWeights m_weights;
        std::mutex m_mutex; // guards m_random
        RandomSource m_random;
        std::unique_ptr<HttpServer> m_server;
        bool m_isListening = false;
    };

    DistributeParameters parametersOf(const BenchOptions& options)
    {
        DistributeParameters parameters;
        const auto topology = options.text("topology", "one");
        if (topology == "caroni")
            parameters.regions = { { "north", 5 }, { "central", 5 }, { "south", 4 } };
        else if (topology == "kalupahana")
            parameters.regions = { { "western", 4 }, { "central", 4 }, { "southern", 3 } };
        else
            parameters.regions = { { "north", static_cast<int>(options.number("vms", 18)) } };
        parameters.chunks = static_cast<std::size_t>(options.number("chunks", 64));
        parameters.chunkBytes = static_cast<std::size_t>(options.number("chunk-kib", 256)) * 1024;
        parameters.uplinkRate = options.number("uplink", 2e6);
        parameters.regionLinkRate = options.number("region-link", parameters.uplinkRate * 0.45);
        parameters.objective = options.text("objective", "time") == "time" ? RolloutObjective::Time : RolloutObjective::OriginBytes;
        parameters.killedShare = options.number("dying", 0);
        parameters.corruptShare = options.number("corrupt", 0);
        parameters.stalledShare = options.number("stalled", 0);
        return parameters;
    }

    std::vector<VmIdentity> identitiesOf(const DistributeParameters& parameters)
    {
        std::vector<VmIdentity> vms;
        for (const auto& [region, count] : parameters.regions) {
            for (int i = 0; i < count; ++i)
                vms.push_back({ region + "-" + std::to_string(i), loopback(firstPort + 1 + static_cast<unsigned>(vms.size())), region, region + "-" + std::to_string(i % 3), "model" });
        }
        return vms;
    }

    void setWantedOnAll(std::vector<std::unique_ptr<WeightVm>>& vms, const PlacementRecord& placement)
    {
        for (const auto& vm : vms) {
            WantedWeights wanted { placement, {} };
            for (const auto& other : vms) {
                if (other != vm)
                    wanted.peers.push_back({ { other->vm().id, other->vm().region, other->vm().failureDomain, other->incarnation() }, other->vm().address });
            }
            vm->weights().setWanted({ wanted });
        }
    }

    std::uint64_t total(std::vector<std::unique_ptr<WeightVm>>& vms, const std::string& counter)
    {
        std::uint64_t sum = 0;
        for (const auto& vm : vms)
            sum += vm->metrics().counter(counter);
        return sum;
    }

}

// Lower bounds: no scheme beats S/B * (1 + floor(log2 N)/M) (Mundinger, Weber and
// Weiss, "Optimal scheduling of peer-to-peer file dissemination", 2008), nor, with k
// region links into each remote region, S / (k * L).
nlohmann::json benchDistribute(const BenchOptions& options)
{
    const auto parameters = parametersOf(options);
    FakeOrigin origin(loopback(firstPort));
    origin.setFault("bytes_per_second", 2 * parameters.uplinkRate);
    const auto manifest = origin.add({ "m", "v1", parameters.chunks, parameters.chunkBytes, options.seed, 0, 0 });
    if (!origin.start())
        return { { "error", "the origin cannot listen" } };
    std::vector<std::unique_ptr<WeightVm>> vms;
    for (const auto& vm : identitiesOf(parameters)) {
        vms.push_back(std::make_unique<WeightVm>(vm, parameters, loopback(firstPort)));
        if (!vms.back()->isListening())
            return { { "error", vm.address + " cannot be bound" } };
    }
    const auto count = vms.size();
    PlacementRecord placement;
    placement.name = "m";
    placement.version = "v1";
    placement.manifest = manifest.digest();
    placement.objective = parameters.objective;
    const auto weightBytes = static_cast<double>(manifest.totalBytes());
    const auto doublings = std::floor(std::log2(static_cast<double>(count)));
    const auto singleRegionBound = 1000 * weightBytes / parameters.uplinkRate * (1 + doublings / static_cast<double>(parameters.chunks));
    const auto remoteRegions = static_cast<double>(parameters.regions.size() - 1);
    const auto boundMilliseconds = remoteRegions > 0 ? std::max(singleRegionBound, 1000 * weightBytes / (remoteRegions * parameters.regionLinkRate)) : singleRegionBound;
    const auto cpuBefore = processCpuMilliseconds();
    const auto startedAt = monotonicNow();
    setWantedOnAll(vms, placement);
    RandomSource random(options.seed);
    auto vmsToKill = static_cast<std::size_t>(parameters.killedShare * static_cast<double>(count));
    const auto killAt = startedAt + Milliseconds(static_cast<std::int64_t>(boundMilliseconds * 0.4));
    std::vector<double> stagedMilliseconds;
    std::set<std::string> stagedVms;
    while (stagedVms.size() < vms.size() && monotonicNow() < startedAt + runTimeout) {
        if (vmsToKill > 0 && monotonicNow() >= killAt) {
            for (; vmsToKill > 0; --vmsToKill) {
                const auto victim = static_cast<std::ptrdiff_t>(random.below(vms.size()));
                vms[static_cast<std::size_t>(victim)]->stop();
                vms.erase(vms.begin() + victim);
            }
            // The other VMs learn of the failures only after the probes have detected them.
            std::this_thread::sleep_for(Milliseconds(static_cast<std::int64_t>(options.number("detect-ms", 1000))));
            setWantedOnAll(vms, placement);
        }
        for (const auto& vm : vms) {
            if (stagedVms.count(vm->vm().id) == 0 && vm->weights().isStaged(placement.manifest)) {
                stagedVms.insert(vm->vm().id);
                stagedMilliseconds.push_back(std::chrono::duration<double, std::milli>(monotonicNow() - startedAt).count());
            }
        }
        showProgress(std::to_string(stagedVms.size()) + " of " + std::to_string(vms.size()) + " VMs are staged");
        std::this_thread::sleep_for(pollPeriod);
    }
    const auto isComplete = stagedVms.size() >= vms.size();
    const auto completionMilliseconds = stagedMilliseconds.empty() ? 0 : *std::max_element(stagedMilliseconds.begin(), stagedMilliseconds.end());
    const auto cpuMilliseconds = processCpuMilliseconds() - cpuBefore;
    const auto copies = static_cast<double>(origin.bytesSent()) / weightBytes;
    const auto crossRegionCopies = static_cast<double>(total(vms, "region_link_bytes_total")) / weightBytes;
    nlohmann::json result { { "bench", "distribute" }, { "seed", options.seed }, { "vms", count }, { "complete", isComplete }, { "chunks", parameters.chunks }, { "chunk_bytes", parameters.chunkBytes },
        { "uplink_bytes_per_s", parameters.uplinkRate }, { "time_ms", completionMilliseconds }, { "bound_ms", boundMilliseconds }, { "time_ratio", completionMilliseconds / boundMilliseconds }, { "p50_ms", percentile(stagedMilliseconds, 0.5) }, { "origin_copies", copies },
        { "region_copies", remoteRegions > 0 ? crossRegionCopies / remoteRegions : 0 }, { "control_bytes_per_vm", total(vms, "offer_bytes_total") / count }, { "offers_per_chunk", static_cast<double>(total(vms, "offers_total")) / static_cast<double>(count * parameters.chunks) },
        { "cpu_ms_per_vm", cpuMilliseconds / static_cast<double>(count) }, { "duplicate_chunks", total(vms, "duplicate_chunks_total") } };
    // Ratios to simpler schemes on the same links, computed from the link rates.
    const auto copyMilliseconds = 1000 * weightBytes / parameters.uplinkRate;
    const auto vmCount = static_cast<double>(count);
    result["computed_ratio_to"] = { { "all_from_origin", completionMilliseconds / (vmCount * copyMilliseconds / 2) }, { "chain_of_chunks", completionMilliseconds / (copyMilliseconds * (1 + (vmCount - 1) / static_cast<double>(parameters.chunks))) }, { "binary_tree_of_copies", completionMilliseconds / (copyMilliseconds * 2 * std::ceil(std::log2(vmCount + 1))) } };
    vms.clear();
    return result;
}

}
