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
    constexpr Milliseconds patience { 180'000 };

    struct DistributeCase {
        std::vector<std::pair<std::string, int>> regions; // the first holds the origin
        std::size_t chunks = 64;
        std::size_t chunkBytes = 256 * 1024;
        double uplink = 2'000'000;
        double regionLink = 1'000'000;
        RolloutObjective objective = RolloutObjective::Time;
        double dying = 0;
        double corrupt = 0;
        double stalled = 0;
    };

    // One VM: the real transfer code behind a real server, without engine and entry VMs.
    class WeightVm {
    public:
        WeightVm(const VmIdentity& vm, const DistributeCase& parameters, const std::string& origin)
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
        static ProcessSettings settingsOf(const VmIdentity& vm, const DistributeCase& parameters, const std::string& origin)
        {
            ProcessSettings settings;
            settings.vm = vm;
            settings.listen = vm.address;
            settings.originAddress = origin;
            settings.originRegion = parameters.regions.front().first;
            settings.peerKeyId = "k";
            settings.peerKey = "bench-peer-key-0001";
            settings.uplinkBytesPerSecond = static_cast<std::int64_t>(parameters.uplink);
            settings.downlinkBytesPerSecond = static_cast<std::int64_t>(parameters.uplink);
            settings.regionLinkBytesPerSecond = static_cast<std::int64_t>(parameters.regionLink);
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
                if (isChunk && m_parameters.corrupt > 0 && isCorrupted())
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
            return m_parameters.stalled > 0 && static_cast<double>(stableHash(from + ">" + m_context.settings.vm.id) % 10'000) < m_parameters.stalled * 10'000;
        }

        bool isCorrupted()
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            return m_random.unit() < m_parameters.corrupt;
        }

        DistributeCase m_parameters;
        NodeContext m_context;
        AgentWeights m_weights;
        std::mutex m_mutex; // guards m_random
        RandomSource m_random;
        std::unique_ptr<HttpServer> m_server;
        bool m_isListening = false;
    };

    DistributeCase caseOf(const BenchOptions& options)
    {
        DistributeCase parameters;
        const auto topology = options.text("topology", "one");
        if (topology == "caroni")
            parameters.regions = { { "north", 5 }, { "central", 5 }, { "south", 4 } };
        else if (topology == "kalupahana")
            parameters.regions = { { "western", 4 }, { "central", 4 }, { "southern", 3 } };
        else
            parameters.regions = { { "north", static_cast<int>(options.number("vms", 18)) } };
        parameters.chunks = static_cast<std::size_t>(options.number("chunks", 64));
        parameters.chunkBytes = static_cast<std::size_t>(options.number("chunk-kib", 256)) * 1024;
        parameters.uplink = options.number("uplink", 2e6);
        parameters.regionLink = options.number("region-link", parameters.uplink * 0.45);
        parameters.objective = options.text("objective", "time") == "time" ? RolloutObjective::Time : RolloutObjective::OriginBytes;
        parameters.dying = options.number("dying", 0);
        parameters.corrupt = options.number("corrupt", 0);
        parameters.stalled = options.number("stalled", 0);
        return parameters;
    }

    std::vector<VmIdentity> identitiesOf(const DistributeCase& parameters)
    {
        std::vector<VmIdentity> vms;
        for (const auto& [region, count] : parameters.regions) {
            for (int i = 0; i < count; ++i)
                vms.push_back({ region + "-" + std::to_string(i), loopback(firstPort + 1 + static_cast<unsigned>(vms.size())), region, region + "-" + std::to_string(i % 3), "model" });
        }
        return vms;
    }

    void announce(std::vector<std::unique_ptr<WeightVm>>& vms, const PlacementRecord& placement)
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
    const auto parameters = caseOf(options);
    FakeOrigin origin(loopback(firstPort));
    origin.setFault("bytes_per_second", 2 * parameters.uplink);
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
    const auto bytes = static_cast<double>(manifest.totalBytes());
    const auto doublings = std::floor(std::log2(static_cast<double>(count)));
    const auto one = 1000 * bytes / parameters.uplink * (1 + doublings / static_cast<double>(parameters.chunks));
    const auto remoteRegions = static_cast<double>(parameters.regions.size() - 1);
    const auto bound = remoteRegions > 0 ? std::max(one, 1000 * bytes / (remoteRegions * parameters.regionLink)) : one;
    const auto cpuBefore = processCpuMilliseconds();
    const auto startedAt = monotonicNow();
    announce(vms, placement);
    RandomSource random(options.seed);
    auto toKill = static_cast<std::size_t>(parameters.dying * static_cast<double>(count));
    const auto killAt = startedAt + Milliseconds(static_cast<std::int64_t>(bound * 0.4));
    std::vector<double> staged;
    std::set<std::string> done;
    while (done.size() < vms.size() && monotonicNow() < startedAt + patience) {
        if (toKill > 0 && monotonicNow() >= killAt) {
            for (; toKill > 0; --toKill) {
                const auto victim = static_cast<std::ptrdiff_t>(random.below(vms.size()));
                vms[static_cast<std::size_t>(victim)]->stop();
                vms.erase(vms.begin() + victim);
            }
            // The members are known to be dead once the probes have noticed.
            std::this_thread::sleep_for(Milliseconds(static_cast<std::int64_t>(options.number("detect-ms", 1000))));
            announce(vms, placement);
        }
        for (const auto& vm : vms) {
            if (done.count(vm->vm().id) == 0 && vm->weights().isStaged(placement.manifest)) {
                done.insert(vm->vm().id);
                staged.push_back(std::chrono::duration<double, std::milli>(monotonicNow() - startedAt).count());
            }
        }
        showProgress(std::to_string(done.size()) + " of " + std::to_string(vms.size()) + " VMs are staged");
        std::this_thread::sleep_for(pollPeriod);
    }
    const auto isComplete = done.size() >= vms.size();
    const auto time = staged.empty() ? 0 : *std::max_element(staged.begin(), staged.end());
    const auto cpu = processCpuMilliseconds() - cpuBefore;
    const auto copies = static_cast<double>(origin.bytesSent()) / bytes;
    const auto crossed = static_cast<double>(total(vms, "region_link_bytes_total")) / bytes;
    nlohmann::json result { { "bench", "distribute" }, { "seed", options.seed }, { "vms", count }, { "complete", isComplete }, { "chunks", parameters.chunks }, { "chunk_bytes", parameters.chunkBytes },
        { "uplink_bytes_per_s", parameters.uplink }, { "time_ms", time }, { "bound_ms", bound }, { "time_ratio", time / bound }, { "p50_ms", percentile(staged, 0.5) }, { "origin_copies", copies },
        { "region_copies", remoteRegions > 0 ? crossed / remoteRegions : 0 }, { "control_bytes_per_vm", total(vms, "offer_bytes_total") / count }, { "offers_per_chunk", static_cast<double>(total(vms, "offers_total")) / static_cast<double>(count * parameters.chunks) },
        { "cpu_ms_per_vm", cpu / static_cast<double>(count) }, { "duplicate_chunks", total(vms, "duplicate_chunks_total") } };
    // Whole-copy schemes on the same links, computed from the link rates.
    const auto copy = 1000 * bytes / parameters.uplink;
    const auto n = static_cast<double>(count);
    result["computed_ratio_to"] = { { "all_from_origin", time / (n * copy / 2) }, { "chain_of_chunks", time / (copy * (1 + (n - 1) / static_cast<double>(parameters.chunks))) }, { "binary_tree_of_copies", time / (copy * 2 * std::ceil(std::log2(n + 1))) } };
    vms.clear();
    return result;
}

}
