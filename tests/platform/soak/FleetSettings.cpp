#include "FleetSettings.h"

#include "Journal.h"
#include "Weights.h"

#include <sstream>

namespace hyssopwick::soak {

using Json = nlohmann::json;

namespace {

    struct Machine {
        std::string node;
        unsigned host = 0;
        bool isBesideEngine = false;
    };

    std::string seedsText(const LoopbackNetwork& network, unsigned entryCount)
    {
        constexpr unsigned maxSeeds = 3;
        std::string text;
        for (unsigned entry = 0; entry < std::min(maxSeeds, entryCount); ++entry)
            text += (text.empty() ? "\"" : ",\"") + network.at(LoopbackNetwork::firstEntryHost + entry, Port::Control) + "\"";
        return "[" + text + "]";
    }

    std::string settingsText(const LoopbackNetwork& network, const Machine& machine, unsigned entryCount)
    {
        const auto address = [&](Port port) { return "\"" + network.at(machine.host, port) + "\"\n"; };
        const bool isAgent = machine.isBesideEngine;
        std::ostringstream text;
        text << "node = \"" << machine.node << "\"\nrole = \"" << (isAgent ? "agent" : "entry") << "\"\nmachineClass = \"" << (isAgent ? "side" : "front")
             << "\"\nserves = " << (isAgent ? "[\"side\"]" : "[\"front\",\"directory\",\"control\"]") << "\nip = \"" << network.ip(machine.host)
             << "\"\nzone = \"north-a\"\nregion = \"north\"\ninternalPorts = [" << static_cast<unsigned>(Port::Internal) << "," << static_cast<unsigned>(Port::Metrics)
             << "]\nseeds = " << seedsText(network, entryCount) << "\nbootstrap = true\ncountsLoss = false\ndiscovery = \"platform\"\nentry = \"directory\"\nbeatMs = 1200\n"
             << "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\",\"chunks\"]\n";
        if (isAgent)
            text << "app = " << address(Port::Engine) << "service = \"models\"\n";
        text << "[zones]\nnorth-a = \"north\"\n[listen]\n";
        if (!isAgent)
            text << "front = " << address(Port::Callers) << "ready = " << address(Port::Ready) << "control = " << address(Port::Control) << "directory = " << address(Port::Directory);
        text << "[limits]\ncpuShare = 0.3\ncores = 1\nmemoryMb = 182\nmaxFds = 2870\nlinkMbps = 700.0\ndiskMb = 0\n[tolerate]\nmachines = 2\nzones = 0\nregions = 0\n"
             << "[bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = " << contactTime.count() << "\nackMs = 4000\ncatchUpS = 4\ndrainMs = " << drainTime.count()
             << "\ngraceS = " << std::chrono::duration_cast<std::chrono::seconds>(graceTime).count() << "\nlossSlackMs = " << lossSlack.count() << "\nconfigMs = " << configurationTime.count()
             << "\ndowngradeMs = 250\nstretchMaxMs = 5000\nstrictRevoke = false\nrevokeMs = 5000\nbudgetRatio = 0.2\nbudgetWindowS = 10\nbudgetSlack = 234\nrecoverS = 12\npassMs = 120\nretryAfterS = 0\nversion_ms = 8000\nversion_all_ms = 0\nttl_max_s = 5\n"
             << "[platform]\naddress = \"" << network.at(LoopbackNetwork::storeHost, Port::Store) << "\"\nform = \"kv\"\nwritesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\nttlMinMs = 1000\n";
        return text.str();
    }

    Json route(const char* name, const char* host, const char* kind, unsigned goalMs, unsigned priority)
    {
        const bool isStream = std::string(kind) == "stream";
        Json route { { "name", name }, { "host", host }, { "prefix", std::string("/") + name + "/" }, { "kind", kind }, { "timeoutMs", routeTimeout.count() }, { "goalMs", goalMs }, { "priority", priority }, { "attempts", 2 }, { "service", isStream ? "models" : "permits" } };
        if (isStream)
            route.update({ { "gapGoalMs", 400 }, { "sticky", true } });
        return route;
    }

}

std::string entrySettings(const LoopbackNetwork& network, unsigned entry, unsigned entryCount)
{
    return settingsText(network, { entryName(entry), LoopbackNetwork::firstEntryHost + entry, false }, entryCount);
}

std::string agentSettings(const LoopbackNetwork& network, unsigned engine, unsigned entryCount)
{
    return settingsText(network, { agentName(engine), LoopbackNetwork::firstEngineHost + engine, true }, entryCount);
}

Json configuration(std::uint64_t version, unsigned slots, const std::string& originAddress)
{
    auto draft = route("draft", "models.example", "stream", 500, 1);
    auto replan = route("replan", "models.example", "stream", 1000, 9);
    draft["canResume"] = replan["canResume"] = true;
    auto routes = Json::array({ draft, replan, route("notice", "models.example", "stream", 800, 4), route("book", "permits.example", "unsafe", 150, 2), route("read", "permits.example", "safe", 150, 3) });
    // Each version has a route that the one before does not have.
    const auto extra = "extra-" + std::to_string(version);
    routes.push_back(route(extra.c_str(), "permits.example", "safe", 150, 3));
    const Json engine { { "slots", slots }, { "kvCapacityTokens", 1180000 }, { "step_ms", 8.87 }, { "per_seq_ms", 0.05 }, { "context_per_k", 0.02 }, { "read_per_s", 19100 }, { "stride", 5 }, { "chunk", 2048 }, { "chunks", pieceCount }, { "chunkBytes", pieceBytes }, { "usual", { { "prompt", 1200 }, { "answer", 120 } } }, { "models", Json::array({ { { "name", modelName }, { "warmS", 0.3 } } }) } };
    return { { "version", version }, { "routes", routes },
        { "services", Json::array({ { { "name", "models" }, { "maxConns", 819 }, { "healthPath", "/health" }, { "engine", engine } }, { { "name", "permits" }, { "maxConns", 248 }, { "healthPath", "/health" } }, { { "name", "office" }, { "origin", originAddress }, { "zone", "north-a" }, { "linkMbps", 50.0 }, { "maxConns", 108 } } }) },
        { "tenants", Json::array({ { { "name", "tenant-a" }, { "keys", Json::array({ "key-of-tenant-a" }) } } }) },
        { "limits", { { "headerBytes", 16384 }, { "bodyBytes", 4194304 }, { "headerTimeoutMs", 2000 }, { "idleTimeoutMs", 15000 } } } };
}

}
