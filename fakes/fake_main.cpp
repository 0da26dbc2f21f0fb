// Runs one fake as a process: platform, engine, service or caller. Used by
// scripts/demo.sh and scripts/storm.sh.

#include <boost/program_options.hpp>
#include <csignal>
#include <fstream>
#include <glog/logging.h>
#include <hyssopwick_fakes.h>
#include <iostream>
#include <thread>

namespace {

using namespace hyssopwick;
namespace po = boost::program_options;

constexpr std::size_t mebibyte = std::size_t(1) << 20;

void waitForStopSignal(std::int64_t seconds)
{
    sigset_t stopSignals;
    sigemptyset(&stopSignals);
    sigaddset(&stopSignals, SIGTERM);
    sigaddset(&stopSignals, SIGINT);
    if (seconds == 0) {
        int received = 0;
        sigwait(&stopSignals, &received);
        return;
    }
    const timespec timeout { seconds, 0 };
    sigtimedwait(&stopSignals, nullptr, &timeout);
}

// The demo's weights: version 2 shares half of its chunks with version 1.
std::vector<FakeWeights> demoWeights(std::size_t mebibytes)
{
    return { { "assistant", "v1", mebibytes, mebibyte, 1, 0, 0 }, { "assistant", "v2", mebibytes, mebibyte, 1, mebibytes / 2, 2 } };
}

// Reads lines of "id address region failure-domain kind".
std::vector<ListedVm> readVms(const std::string& file)
{
    std::vector<ListedVm> vms;
    std::ifstream in(file);
    ListedVm vm;
    while (in >> vm.identity.id >> vm.identity.address >> vm.identity.region >> vm.identity.failureDomain >> vm.identity.kind)
        vms.push_back(vm);
    return vms;
}

int runPlatform(const po::variables_map& values)
{
    FakeKeyValue keyValue(values["key-value"].as<std::string>());
    FakeVmList vmList(values["vm-list"].as<std::string>());
    FakeOrigin origin(values["origin"].as<std::string>());
    for (const auto& weights : demoWeights(values["mebibytes"].as<std::size_t>())) {
        const auto manifest = origin.add(weights);
        std::cout << weights.name << "@" << weights.version << " " << manifest.digest().hex() << std::endl;
    }
    origin.setFault("bytes_per_second", values["origin-bytes-per-second"].as<double>());
    if (values.count("vms") != 0)
        vmList.set(readVms(values["vms"].as<std::string>()));
    if (!keyValue.start() || !vmList.start() || !origin.start())
        return 1;
    waitForStopSignal(0);
    const auto copies = static_cast<double>(origin.bytesSent()) / static_cast<double>(values["mebibytes"].as<std::size_t>() * mebibyte);
    std::cout << nlohmann::json { { "origin_bytes", origin.bytesSent() }, { "origin_copies", copies }, { "key_value_calls", keyValue.calls() } }.dump() << std::endl;
    return 0;
}

int runEngine(const po::variables_map& values)
{
    FakeEngineOptions options;
    options.address = values["listen"].as<std::string>();
    options.checksFencingToken = values["checks-fencing"].as<bool>();
    EventLog log("engine." + values["name"].as<std::string>() + "." + std::to_string(unixNow()), glogSink());
    FakeEngine engine(options, &log);
    if (!engine.start())
        return 1;
    waitForStopSignal(0);
    return 0;
}

int runService(const po::variables_map& values)
{
    EventLog log("service." + values["name"].as<std::string>() + "." + std::to_string(unixNow()), glogSink());
    FakeService service(values["listen"].as<std::string>(), &log);
    service.setFault("delay_ms", 20);
    if (!service.start())
        return 1;
    waitForStopSignal(0);
    return 0;
}

int runCaller(const po::variables_map& values)
{
    FakeCallerOptions options;
    options.entries = values["entry"].as<std::vector<std::string>>();
    options.account = values["account"].as<std::string>();
    options.secret = values["secret"].as<std::string>();
    options.model = values["model"].as<std::string>();
    options.bookingPath = values["booking-path"].as<std::string>();
    options.completionsPerSecond = values["completions-per-second"].as<double>();
    options.bookingsPerSecond = values["bookings-per-second"].as<double>();
    options.seed = values["seed"].as<std::uint64_t>();
    EventLog log("caller." + options.account + "." + std::to_string(unixNow()), glogSink());
    FakeCaller caller(options, &log);
    caller.start();
    waitForStopSignal(values["seconds"].as<std::int64_t>());
    caller.finish(monotonicNow() + options.deadline);
    const auto counts = caller.counts();
    std::cout << nlohmann::json { { "account", options.account }, { "sent", counts.sent }, { "answered", counts.answered }, { "bookings_answered", counts.bookingsAnswered }, { "not_whole", counts.notWhole }, { "unknown", counts.unknown }, { "retried", counts.retried }, { "refusals", counts.refusals }, { "by_version", counts.byVersion } }.dump() << std::endl;
    return counts.notWhole == 0 ? 0 : 1;
}

}

int main(int argc, char** argv)
{
    po::options_description description("hyssopwick-fake KIND: runs a fake (platform, engine, service, caller)\n\nOptions");
    description.add_options()("help", "print this text")("kind", po::value<std::string>(), "fake to run");
    description.add_options()("listen", po::value<std::string>(), "engine, service: address")("name", po::value<std::string>()->default_value("fake"), "name in logs")("checks-fencing", po::value<bool>()->default_value(true), "engine: refuse outdated fencing tokens");
    description.add_options()("key-value", po::value<std::string>(), "platform: address")("vm-list", po::value<std::string>(), "platform: address")("origin", po::value<std::string>(), "platform: address")("vms", po::value<std::string>(), "platform: file with the list of VMs")("mebibytes", po::value<std::size_t>()->default_value(64), "platform: size of the weights")("origin-bytes-per-second", po::value<double>()->default_value(0), "platform: the origin's link");
    description.add_options()("entry", po::value<std::vector<std::string>>(), "caller: entry address, repeatable")("account", po::value<std::string>(), "caller: account")("secret", po::value<std::string>(), "caller: credential")("model", po::value<std::string>()->default_value(""), "caller: model")("booking-path", po::value<std::string>()->default_value(""), "caller: path of a booking");
    description.add_options()("completions-per-second", po::value<double>()->default_value(0), "caller")("bookings-per-second", po::value<double>()->default_value(0), "caller")("seconds", po::value<std::int64_t>()->default_value(0), "caller: 0 until a signal")("seed", po::value<std::uint64_t>()->default_value(1), "caller");
    po::positional_options_description positional;
    positional.add("kind", 1);
    po::variables_map values;
    try {
        po::store(po::command_line_parser(argc, argv).options(description).positional(positional).run(), values);
    } catch (const po::error& error) {
        std::cerr << "hyssopwick-fake: " << error.what() << "\n";
        return 2;
    }
    sigset_t stopSignals;
    sigemptyset(&stopSignals);
    sigaddset(&stopSignals, SIGTERM);
    sigaddset(&stopSignals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &stopSignals, nullptr);
    FLAGS_logtostderr = true;
    FLAGS_log_prefix = false;
    google::InitGoogleLogging("hyssopwick-fake");
    const auto kind = values.count("kind") != 0 ? values["kind"].as<std::string>() : "";
    if (kind == "platform")
        return runPlatform(values);
    if (kind == "engine")
        return runEngine(values);
    if (kind == "service")
        return runService(values);
    if (kind == "caller")
        return runCaller(values);
    std::cout << description;
    return values.count("help") != 0 ? 0 : 2;
}
