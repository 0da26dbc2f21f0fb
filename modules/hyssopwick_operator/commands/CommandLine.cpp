#include "CommandLine.h"

#include "../apply/Applier.h"
#include "RequestTimeline.h"

#include <boost/program_options.hpp>
#include <fstream>
#include <hyssopwick_audit.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <variant>

namespace hyssopwick {

namespace {

    namespace po = boost::program_options;

    constexpr const char* generalHelp = R"(hyssopwick - operator command line

Usage: hyssopwick COMMAND [OPTIONS] ...

  validate DIRECTORY...   check records without contacting anything
  plan DIRECTORY          show what an apply would change
  apply DIRECTORY         accept the records: they are active everywhere in seconds
  status                  show the active revisions, processes that lag behind, rollouts
  audit FILE...           check collected event logs against every promise
  explain ID FILE...      show the events of one request from the event logs

hyssopwick COMMAND --help shows a command's options and an example.
hyssopwick --version shows the version.

Exit codes: 0 done (audit: every promise held), 1 findings, conflict, processes that
lag behind or a broken promise, 2 wrong command line or unreadable input, 3 no answer.
)";

    struct Context {
        po::variables_map values;
        std::ostream& out;
        std::ostream& errors;
        bool isJson = false;

        std::vector<std::string> inputs() const
        {
            return values.count("input") != 0 ? values["input"].as<std::vector<std::string>>() : std::vector<std::string>();
        }
    };

    std::string readFile(const std::string& file)
    {
        std::ifstream in(file, std::ios::binary);
        std::ostringstream text;
        text << in.rdbuf();
        return text.str();
    }

    void printFindings(const Context& context, const Findings& findings)
    {
        if (!context.isJson) {
            for (const auto& finding : findings)
                context.errors << finding.text() << "\n";
            return;
        }
        auto list = nlohmann::json::array();
        for (const auto& finding : findings)
            list.push_back({ { "file", finding.file }, { "line", finding.line }, { "column", finding.column }, { "message", finding.message } });
        context.out << nlohmann::json { { "findings", list } }.dump() << "\n";
    }

    std::optional<Bundle> readRecords(const Context& context, const std::string& directory)
    {
        Findings findings;
        auto bundle = readRecordDirectory(directory, findings);
        if (findings.empty())
            return bundle;
        printFindings(context, findings);
        return std::nullopt;
    }

    std::optional<ProcessSettings> readSettings(const Context& context)
    {
        if (context.values.count("settings") == 0) {
            context.errors << "hyssopwick: --settings FILE is required\n";
            return std::nullopt;
        }
        const auto file = context.values["settings"].as<std::string>();
        Findings findings;
        auto settings = parseOperatorSettings(readFile(file), file, findings);
        if (!settings)
            printFindings(context, findings);
        return settings;
    }

    std::string randomNonce()
    {
        std::random_device device;
        return Digest::of(std::to_string(device()) + "/" + std::to_string(device()) + "/" + std::to_string(unixNow())).shortHex();
    }

    std::string author()
    {
        const char* user = std::getenv("USER");
        return user ? user : "operator";
    }

    ExitCode validate(const Context& context)
    {
        if (context.inputs().empty()) {
            context.errors << "hyssopwick validate: name a directory of records\n";
            return ExitCode::Usage;
        }
        bool isValid = true;
        for (const auto& directory : context.inputs()) {
            const auto bundle = readRecords(context, directory);
            isValid = isValid && bundle;
            if (bundle && !context.isJson)
                context.out << directory << ": " << bundle->records().size() << " records are valid\n";
            else if (bundle)
                context.out << nlohmann::json { { "directory", directory }, { "records", bundle->records().size() }, { "digest", bundle->digest().hex() } }.dump() << "\n";
        }
        return isValid ? ExitCode::Success : ExitCode::Negative;
    }

    // Input of plan and apply: settings and the records of one directory.
    struct ChangeInput {
        ProcessSettings settings;
        Bundle bundle;
    };

    std::variant<ChangeInput, ExitCode> readChange(const Context& context)
    {
        const auto settings = readSettings(context);
        if (context.inputs().size() != 1 || !settings)
            return ExitCode::Usage;
        const auto bundle = readRecords(context, context.inputs()[0]);
        if (!bundle)
            return ExitCode::Negative;
        return ChangeInput { *settings, *bundle };
    }

    ExitCode plan(const Context& context)
    {
        const auto input = readChange(context);
        if (const auto* exitCode = std::get_if<ExitCode>(&input))
            return *exitCode;
        const auto& [settings, bundle] = std::get<ChangeInput>(input);
        HttpClient client;
        KeyValueClient store(client, settings.keyValueAddress, "operator");
        Applier applier(store, author(), randomNonce());
        const auto current = applier.readCurrent();
        if (!current) {
            context.errors << "hyssopwick plan: " << current.error().message << "\n";
            return ExitCode::Unavailable;
        }
        const auto& [head, before] = current.value().second;
        const auto changes = describeDifference(before, bundle);
        if (context.isJson) {
            context.out << nlohmann::json { { "revision", head.revision }, { "changes", changes } }.dump() << "\n";
            return ExitCode::Success;
        }
        context.out << "revision " << head.revision << " is active; " << changes.size() << " records would change\n";
        for (const auto& change : changes)
            context.out << "  " << change << "\n";
        if (!changes.empty())
            context.out << "apply exactly this with: hyssopwick apply --if-revision " << head.revision << " " << context.inputs()[0] << "\n";
        return ExitCode::Success;
    }

    const char* verdictName(ApplyVerdict verdict)
    {
        switch (verdict) {
        case ApplyVerdict::Accepted:
            return "accepted";
        case ApplyVerdict::Unchanged:
            return "unchanged";
        case ApplyVerdict::Conflict:
            return "conflict";
        case ApplyVerdict::Failed:
            return "failed";
        case ApplyVerdict::Unknown:
            return "unknown";
        }
        return "unknown";
    }

    ExitCode exitCodeOf(ApplyVerdict verdict)
    {
        switch (verdict) {
        case ApplyVerdict::Accepted:
        case ApplyVerdict::Unchanged:
            return ExitCode::Success;
        case ApplyVerdict::Conflict:
            return ExitCode::Negative;
        case ApplyVerdict::Failed:
        case ApplyVerdict::Unknown:
            return ExitCode::Unavailable;
        }
        return ExitCode::Unavailable;
    }

    void printApply(const Context& context, const ApplyResult& result)
    {
        if (context.isJson) {
            context.out << nlohmann::json { { "verdict", verdictName(result.verdict) }, { "revision", result.head.revision }, { "bundle", result.head.bundle.hex() }, { "changes", result.changes }, { "detail", result.detail } }.dump() << "\n";
            return;
        }
        context.out << verdictName(result.verdict) << ": revision " << result.head.revision << (result.detail.empty() ? "" : ": " + result.detail) << "\n";
        for (const auto& change : result.changes)
            context.out << "  " << change << "\n";
        if (result.verdict == ApplyVerdict::Conflict)
            context.out << "nothing of yours was applied; any lines above show what another operator changed\n";
    }

    ExitCode apply(const Context& context)
    {
        const auto input = readChange(context);
        if (const auto* exitCode = std::get_if<ExitCode>(&input))
            return *exitCode;
        const auto& [settings, bundle] = std::get<ChangeInput>(input);
        HttpClient client;
        KeyValueClient store(client, settings.keyValueAddress, "operator");
        const auto nonce = randomNonce();
        Applier applier(store, author(), nonce);
        std::optional<ConfigurationRevision> expected;
        if (context.values.count("if-revision") != 0)
            expected = context.values["if-revision"].as<ConfigurationRevision>();
        const auto result = applier.apply(bundle, expected);
        printApply(context, result);
        if (result.verdict == ApplyVerdict::Accepted) {
            EventLog log("operator." + nonce, [&](const std::string& line) { context.errors << line << "\n"; });
            log.write("config.accepted", { { "revision", std::to_string(result.head.revision) }, { "bundle", result.head.bundle.hex() }, { "author", result.head.author }, { "nonce", nonce } });
            const auto removed = applier.removeUnreferencedParts();
            if (!removed)
                context.errors << "hyssopwick apply: bundle parts that the head does not reference were not removed: " << removed.error().message << "\n";
        }
        return exitCodeOf(result.verdict);
    }

    // An entry VM's status names all upstreams of the fleet.
    constexpr std::size_t maxStatusBytes = std::size_t(32) << 20;

    Outcome<nlohmann::json> readStatus(HttpClient& client, const std::string& address)
    {
        HttpClientRequest request;
        request.method = "GET";
        request.url = "http://" + address + "/v1/status";
        request.deadline = monotonicNow() + Milliseconds(1500);
        request.maxResponseBytes = maxStatusBytes;
        const auto answer = client.send(std::move(request));
        if (!answer)
            return boost::outcome_v2::failure(answer.error());
        auto json = nlohmann::json::parse(answer.value().body, nullptr, false);
        if (!json.is_object())
            return failure(ErrorCode::InvalidInput, address + " answered malformed JSON");
        return json;
    }

    // State of the fleet, merged from the status of all entry VMs.
    struct FleetStatus {
        std::map<std::string, ConfigurationRevision> revisions; // by VM
        std::vector<std::string> unreachable;
        nlohmann::json rollouts = nlohmann::json::object();
        nlohmann::json upstreams = nlohmann::json::object();

        ConfigurationRevision newest() const
        {
            ConfigurationRevision revision = 0;
            for (const auto& [vm, active] : revisions)
                revision = std::max(revision, active);
            return revision;
        }
    };

    FleetStatus readFleet(HttpClient& client, const std::vector<ListedVm>& vms)
    {
        FleetStatus fleet;
        for (const auto& vm : vms) {
            if (vm.identity.kind != "entry")
                continue;
            const auto status = readStatus(client, vm.identity.address);
            if (!status) {
                fleet.unreachable.push_back(vm.identity.id);
                continue;
            }
            const auto& json = status.value();
            fleet.revisions[vm.identity.id] = json.value("revision", ConfigurationRevision { 0 });
            fleet.rollouts.update(json.value("rollouts", nlohmann::json::object()));
            const auto upstreams = json.value("upstreams", nlohmann::json::object());
            for (const auto& [id, upstream] : upstreams.items()) {
                const bool isNewer = !fleet.upstreams.contains(id) || upstream["report_age_ms"] < fleet.upstreams[id]["report_age_ms"];
                if (!isNewer)
                    continue;
                fleet.upstreams[id] = upstream;
                fleet.revisions[id] = upstream.value("revision", ConfigurationRevision { 0 });
            }
        }
        for (const auto& vm : vms) {
            const bool isKnown = fleet.revisions.count(vm.identity.id) != 0;
            if (vm.identity.kind != "entry" && !isKnown)
                fleet.unreachable.push_back(vm.identity.id);
        }
        return fleet;
    }

    void printStatus(const Context& context, const FleetStatus& fleet)
    {
        const auto newest = fleet.newest();
        std::map<ConfigurationRevision, std::size_t> counts;
        std::vector<std::string> lagging;
        for (const auto& [vm, revision] : fleet.revisions) {
            ++counts[revision];
            if (revision < newest)
                lagging.push_back(vm);
        }
        if (context.isJson) {
            auto byRevision = nlohmann::json::object();
            for (const auto& [revision, count] : counts)
                byRevision[std::to_string(revision)] = count;
            context.out << nlohmann::json { { "revision", newest }, { "processes", fleet.revisions.size() }, { "by_revision", byRevision }, { "laggards", lagging }, { "silent", fleet.unreachable }, { "rollouts", fleet.rollouts }, { "upstreams", fleet.upstreams } }.dump() << "\n";
            return;
        }
        context.out << "revision " << newest << " is the newest active\n";
        for (const auto& [revision, count] : counts)
            context.out << "  revision " << revision << ": " << count << " processes\n";
        for (const auto& vm : lagging)
            context.out << "  behind: " << vm << " at revision " << fleet.revisions.at(vm) << "\n";
        for (const auto& vm : fleet.unreachable)
            context.out << "  no answer: " << vm << "\n";
        for (const auto& [placement, rollout] : fleet.rollouts.items()) {
            context.out << "rollout " << placement << ": " << rollout["serving"] << " of " << rollout["wanted"] << " replicas serve the wanted version, " << rollout["serving_other"] << " another, " << rollout["failed"] << " failed"
                        << (rollout["halted"].get<bool>() ? "; HALTED: engines cannot load this version; apply a record with another one" : "") << "\n";
        }
    }

    ExitCode status(const Context& context)
    {
        const auto settings = readSettings(context);
        if (!settings)
            return ExitCode::Usage;
        HttpClient client;
        VmListClient vmList(client, settings->vmListAddress);
        const auto vms = vmList.read();
        if (!vms) {
            context.errors << "hyssopwick status: " << vms.error().message << "\n";
            return ExitCode::Unavailable;
        }
        const auto fleet = readFleet(client, vms.value());
        if (fleet.revisions.empty()) {
            context.errors << "hyssopwick status: no entry VM answers\n";
            return ExitCode::Unavailable;
        }
        printStatus(context, fleet);
        const auto newest = fleet.newest();
        const bool isAnyLagging = std::any_of(fleet.revisions.begin(), fleet.revisions.end(), [newest](const auto& item) { return item.second < newest; });
        return isAnyLagging || !fleet.unreachable.empty() ? ExitCode::Negative : ExitCode::Success;
    }

    ExitCode explain(const Context& context)
    {
        auto files = context.inputs();
        if (files.size() < 2) {
            context.errors << "hyssopwick explain: name a request id and the event log files\n";
            return ExitCode::Usage;
        }
        RequestTimeline timeline(files.front());
        for (std::size_t i = 1; i < files.size(); ++i) {
            const auto read = timeline.addFile(files[i]);
            if (!read) {
                context.errors << "hyssopwick explain: " << read.error().message << "\n";
                return ExitCode::Usage;
            }
        }
        timeline.print(context.out);
        return timeline.isEmpty() ? ExitCode::Negative : ExitCode::Success;
    }

    ExitCode audit(const Context& context)
    {
        if (context.inputs().empty()) {
            context.errors << "hyssopwick audit: name the event log files\n";
            return ExitCode::Usage;
        }
        Auditor auditor;
        for (const auto& file : context.inputs()) {
            const auto read = auditor.addFile(file);
            if (!read) {
                context.errors << "hyssopwick audit: " << read.error().message << "\n";
                return ExitCode::Usage;
            }
        }
        const auto report = auditor.finish();
        context.out << (context.isJson ? reportToJson(report) + "\n" : reportToText(report));
        return report.hasBrokenPromise() ? ExitCode::Negative : ExitCode::Success;
    }

    struct Command {
        const char* name;
        ExitCode (*run)(const Context& context);
        const char* help;
    };

    constexpr Command commands[] = {
        { "validate", validate, "Checks every record file below the directories; contacts nothing.\n\nExample:\n  hyssopwick validate examples/caroni/records" },
        { "plan", plan, "Shows the difference between the active records and those of the directory.\n\nExample:\n  hyssopwick plan --settings operator.toml examples/caroni/records" },
        { "apply", apply, "Validates every file, then accepts all records at once by one compare-and-swap.\nWith findings, or when another operator's change was accepted first, nothing changes.\n\nExample:\n  hyssopwick apply --settings operator.toml --if-revision 7 examples/caroni/records" },
        { "status", status, "Shows active revisions by number of processes, laggards (older revision) by name,\nand rollouts.\n\nExample:\n  hyssopwick status --settings operator.toml --json" },
        { "explain", explain, "Shows the events of one request in order of time, with what changed at its upstreams\nmeanwhile. Exit code 1: no event names the request.\n\nExample:\n  hyssopwick explain 9c41d07be2a35f68 logs/*.log" },
        { "audit", audit, "Checks collected event logs against every promise and names the first broken one\nwith its events. Exit code 1: a promise was broken; 2: input cannot be read.\n\nExample:\n  hyssopwick audit logs/*.log" },
    };

    ExitCode runCommand(const Command& command, const std::vector<std::string>& arguments, std::ostream& out, std::ostream& errors)
    {
        po::options_description visible("Options");
        visible.add_options()("help", "print this text")("json", "print JSON")("settings", po::value<std::string>(), "TOML settings of the operator")("if-revision", po::value<ConfigurationRevision>(), "apply: only on top of this revision");
        po::options_description all;
        all.add(visible).add_options()("input", po::value<std::vector<std::string>>());
        po::positional_options_description positional;
        positional.add("input", -1);
        Context context { {}, out, errors };
        try {
            po::store(po::command_line_parser(arguments).options(all).positional(positional).run(), context.values);
        } catch (const po::error& error) {
            errors << "hyssopwick " << command.name << ": " << error.what() << "\n";
            return ExitCode::Usage;
        }
        if (context.values.count("help") != 0) {
            out << "hyssopwick " << command.name << "\n\n"
                << command.help << "\n\n"
                << visible;
            return ExitCode::Success;
        }
        context.isJson = context.values.count("json") != 0;
        return command.run(context);
    }

}

ExitCode runCommandLine(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& errors)
{
    if (arguments.empty() || arguments[0] == "--help" || arguments[0] == "help") {
        (arguments.empty() ? errors : out) << generalHelp;
        return arguments.empty() ? ExitCode::Usage : ExitCode::Success;
    }
    if (arguments[0] == "--version") {
        out << "hyssopwick " << HYSSOPWICK_VERSION << "\n";
        return ExitCode::Success;
    }
    for (const auto& command : commands) {
        if (arguments[0] == command.name)
            return runCommand(command, { arguments.begin() + 1, arguments.end() }, out, errors);
    }
    errors << "hyssopwick: command \"" << arguments[0] << "\" is not known; hyssopwick --help lists the commands\n";
    return ExitCode::Usage;
}

}
