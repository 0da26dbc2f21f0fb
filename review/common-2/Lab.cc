#include "Lab.hpp"

#include "../../tests/platform/soak/HttpMessage.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <iostream>
#include <openssl/evp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {
    constexpr Milliseconds storeTick { 20 };
    constexpr int exitNotStarted = 127;

    std::string base64(const std::string& bytes)
    {
        std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
        const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
        text.resize(static_cast<std::size_t>(size));
        return text;
    }

    std::string percentDecoded(const std::string& text)
    {
        std::string result;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else {
                result += text[i];
            }
        }
        return result;
    }
}

bool hasTrouble()
{
    const char* trouble = std::getenv("TROUBLE");
    return !trouble || std::string(trouble) != "0";
}

Record::Record(const std::string& path)
    : m_file(path)
{
}

void Record::line(const std::string& text)
{
    char at[32];
    std::snprintf(at, sizeof at, "%8.3f  ", soak::secondsBetween(m_startedAt, soak::now()));
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_file << at << text << std::endl;
    std::cout << at << text << std::endl;
}

LoopThread::LoopThread()
    : m_thread([this] { m_loop.run(); })
{
}

LoopThread::~LoopThread() { stop(); }

void LoopThread::stop()
{
    m_loop.stop();
    if (m_thread.joinable())
        m_thread.join();
}

void LoopThread::run(std::function<void()> task)
{
    std::promise<void> done;
    soak::asio::post(m_loop, [&] {
        task();
        done.set_value();
    });
    done.get_future().wait();
}

Store::Store(soak::EventLoop& loop, const std::string& address, std::size_t pageItems)
    : m_loop(loop)
    , m_pageItems(pageItems)
    , m_timer(loop)
    , m_server(loop, address, [this](const soak::ServerConnectionPointer& connection) { serve(connection); })
{
    tick();
}

std::size_t Store::size() const
{
    return static_cast<std::size_t>(std::count_if(m_items.begin(), m_items.end(), [](const auto& item) { return !item.second.isDeleted; }));
}

void Store::set(const std::string& key, const Json& value)
{
    write(key, base64(value.dump()), 0);
    answerWatches();
}

void Store::remove(const std::string& key)
{
    erase(key);
    answerWatches();
}

void Store::serve(const soak::ServerConnectionPointer& connection)
{
    const auto path = connection->request().path();
    if (path == "/-/kv-range")
        return serveRange(connection);
    if (path == "/-/kv-watch") {
        const auto& request = connection->request();
        const Milliseconds wait(std::stoll("0" + request.parameter("waitMs")));
        m_watches.push_back({ connection, std::stoull("0" + request.parameter("after")), soak::now() + wait });
        return answerWatches();
    }
    if (path == "/-/kv-txn")
        return serveTransaction(connection);
    if (path == "/-/kv-lease") {
        const auto ttl = Json::parse(connection->request().body).at("ttlMs").get<std::int64_t>();
        m_leases[++m_lastLease] = { soak::now() + Milliseconds(ttl), ttl };
        return answer(connection, 200, { { "lease", m_lastLease }, { "ttlMs", ttl } });
    }
    serveLease(connection, path);
}

// The state is that of the call's arrival; the answer takes the store's time.
void Store::answer(const std::weak_ptr<soak::ServerConnection>& connection, unsigned status, const Json& body)
{
    soak::runAfter(m_loop, m_delay, [connection, status, text = body.dump()] {
        const auto open = connection.lock();
        if (open && open->isOpen())
            open->respondJson(status, text);
    });
}

Json Store::itemJson(const std::string& key, const Item& item) const
{
    if (item.isDeleted)
        return { { "key", key }, { "revision", item.revision }, { "deleted", true } };
    return { { "key", key }, { "value", item.value }, { "revision", item.revision }, { "created", item.created }, { "lease", item.lease } };
}

void Store::serveRange(const soak::ServerConnectionPointer& connection)
{
    const auto prefix = percentDecoded(connection->request().parameter("prefix"));
    const auto after = percentDecoded(connection->request().parameter("after"));
    auto items = Json::array();
    bool hasMore = false;
    std::string first;
    std::string last;
    for (const auto& [key, item] : m_items) {
        if (item.isDeleted || key.compare(0, prefix.size(), prefix) != 0 || (!after.empty() && key <= after))
            continue;
        if (items.size() == m_pageItems) {
            hasMore = true;
            break;
        }
        first = first.empty() ? key : first;
        last = key;
        items.push_back(itemJson(key, item));
    }
    answer(connection, 200, { { "items", items }, { "hasMore", hasMore }, { "at", m_revision } });
    if (m_onPage)
        m_onPage(after, first, last);
}

void Store::serveTransaction(const soak::ServerConnectionPointer& connection)
{
    const auto body = Json::parse(connection->request().body);
    auto current = Json::array();
    bool holds = true;
    for (const auto& row : body.at("expected")) {
        const auto found = m_items.find(row.at("key").get<std::string>());
        const bool exists = found != m_items.end() && !found->second.isDeleted;
        holds = holds && row.at("revision").get<std::uint64_t>() == (exists ? found->second.revision : 0);
        if (exists)
            current.push_back(itemJson(found->first, found->second));
    }
    if (!holds)
        return answer(connection, 412, { { "items", current } });
    for (const auto& row : body.at("setKeys")) {
        const auto lease = row.value("lease", std::uint64_t(0));
        if (lease != 0 && m_leases.count(lease) == 0)
            return answer(connection, 404, Json::object());
    }
    for (const auto& row : body.at("setKeys"))
        write(row.at("key").get<std::string>(), row.at("value").get<std::string>(), row.value("lease", std::uint64_t(0)));
    for (const auto& key : body.at("remove"))
        erase(key.get<std::string>());
    answer(connection, 200, { { "revision", m_revision } });
    answerWatches();
}

void Store::serveLease(const soak::ServerConnectionPointer& connection, const std::string& path)
{
    const auto slash = path.rfind('/');
    const auto name = path.substr(0, slash);
    const bool isKnown = name == "/-/kv-keep" || name == "/-/kv-lease-end";
    const auto found = isKnown ? m_leases.find(std::stoull("0" + path.substr(slash + 1))) : m_leases.end();
    if (found == m_leases.end())
        return answer(connection, 404, Json::object());
    const auto lease = found->first;
    if (name == "/-/kv-keep") {
        found->second.expiresAt = soak::now() + Milliseconds(found->second.ttlMs);
        return answer(connection, 200, { { "lease", lease }, { "ttlMs", found->second.ttlMs } });
    }
    m_leases.erase(found);
    endLease(lease);
    answer(connection, 200, Json::object());
    answerWatches();
}

void Store::write(const std::string& key, const std::string& value, std::uint64_t lease)
{
    auto& item = m_items[key];
    ++m_revision;
    const auto created = item.revision == 0 || item.isDeleted ? m_revision : item.created;
    item = { value, m_revision, created, lease, false };
}

void Store::erase(const std::string& key)
{
    const auto found = m_items.find(key);
    if (found != m_items.end() && !found->second.isDeleted)
        found->second = { "", ++m_revision, 0, 0, true };
}

void Store::endLease(std::uint64_t lease)
{
    for (auto& [key, item] : m_items) {
        if (!item.isDeleted && item.lease == lease)
            item = { "", ++m_revision, 0, 0, true };
    }
}

void Store::answerWatches()
{
    std::vector<Watch> waiting;
    for (auto& watch : std::exchange(m_watches, {})) {
        std::map<std::uint64_t, Json> events;
        for (const auto& [key, item] : m_items) {
            if (item.revision > watch.after)
                events[item.revision] = itemJson(key, item);
        }
        if (watch.connection.expired())
            continue;
        if (events.empty() && soak::now() < watch.expiresAt) {
            waiting.push_back(watch);
            continue;
        }
        auto list = Json::array();
        for (auto& [at, event] : events)
            list.push_back(std::move(event));
        answer(watch.connection, 200, { { "events", list }, { "at", m_revision } });
    }
    m_watches.insert(m_watches.end(), waiting.begin(), waiting.end());
}

void Store::tick()
{
    for (auto lease = m_leases.begin(); lease != m_leases.end();) {
        if (soak::now() < lease->second.expiresAt) {
            ++lease;
            continue;
        }
        endLease(lease->first);
        lease = m_leases.erase(lease);
    }
    answerWatches();
    m_timer.expires_after(storeTick);
    m_timer.async_wait([this](boost::system::error_code error) {
        if (!error)
            tick();
    });
}

PlainWorker::PlainWorker(soak::EventLoop& loop, Store& store, std::string service, std::string id, const std::string& address, Milliseconds work, std::vector<Run>& runs)
    : m_loop(loop)
    , m_service(std::move(service))
    , m_id(std::move(id))
    , m_work(work)
    , m_runs(runs)
    , m_server(loop, address, [this](const soak::ServerConnectionPointer& connection) { serve(connection); })
{
    const auto bornMs = std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    store.set("servers/" + m_id, { { "service", m_service }, { "address", address }, { "zone", "north-a" }, { "version", "1" }, { "slots", 64 }, { "state", "ready" }, { "coldLeftMs", 0 }, { "sequence", 0 }, { "born", bornMs } });
}

void PlainWorker::serve(const soak::ServerConnectionPointer& connection)
{
    const auto& request = connection->request();
    if (request.path() == "/health")
        return connection->respond(200, { { "Instance-Id", m_id } }, "");
    const auto id = request.field("Request-Id");
    const auto expected = request.field("Expect-Instance");
    if (!expected.empty() && expected != m_id)
        return connection->respond(421, { { "Instance-Id", m_id }, { "Request-Id", id } }, "");
    m_runs.push_back({ id, m_id, m_service, request.target() });
    soak::runAfter(m_loop, m_work, [connection, id, service = m_service] {
        if (connection->isOpen())
            connection->respond(200, { { "Request-Id", id }, { "Server-Seal", "seal-" + id } }, service);
    });
}

Process::Process(std::string program, const std::string& folder, std::string node, const std::string& settings)
    : m_program(std::move(program))
    , m_node(std::move(node))
    , m_settingsPath(folder + "/" + m_node + ".toml")
    , m_logPath(folder + "/" + m_node + ".log")
{
    std::ofstream(m_settingsPath) << settings;
}

Process::~Process() { kill(); }

void Process::start()
{
    const auto parent = getpid();
    m_id = fork();
    if (m_id < 0)
        throw std::runtime_error("no new process for " + m_node);
    if (m_id > 0)
        return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent)
        _exit(exitNotStarted);
    const int log = open(m_logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    constexpr unsigned firstInherited = 3;
    close_range(firstInherited, ~0u, 0);
    clearenv();
    setenv("PATH", "/usr/bin:/bin", 1);
    setenv("HYSSOPWICK_BOOT", m_settingsPath.c_str(), 1);
    execl(m_program.c_str(), m_program.c_str(), static_cast<char*>(nullptr));
    _exit(exitNotStarted);
}

void Process::signal(int number) const
{
    if (m_id > 0)
        ::kill(m_id, number);
}

void Process::kill()
{
    if (m_id <= 0)
        return;
    ::kill(m_id, SIGKILL);
    waitpid(m_id, nullptr, 0);
    m_id = -1;
}

bool Process::isRunning()
{
    if (m_id > 0 && waitpid(m_id, nullptr, WNOHANG) == m_id)
        m_id = -1;
    return m_id > 0;
}

std::string settingsOf(const Machine& machine)
{
    const auto address = [&](Port port) { return "\"" + machine.ip + ":" + std::to_string(static_cast<unsigned>(port)) + "\"\n"; };
    const bool isAgent = !machine.engineAddress.empty();
    std::string seeds;
    for (const auto& seed : machine.seeds)
        seeds += (seeds.empty() ? "\"" : ",\"") + seed + "\"";
    std::ostringstream text;
    text << "node = \"" << machine.node << "\"\nrole = \"" << (isAgent ? "agent" : "entry") << "\"\nmachineClass = \"" << (isAgent ? "side" : "front")
         << "\"\nserves = " << (isAgent ? "[\"side\"]" : "[\"front\",\"directory\",\"control\"]") << "\nip = \"" << machine.ip
         << "\"\nzone = \"north-a\"\nregion = \"north\"\ninternalPorts = [" << static_cast<unsigned>(Port::Internal) << "," << static_cast<unsigned>(Port::Metrics)
         << "]\nseeds = [" << seeds << "]\nbootstrap = false\ncountsLoss = false\ndiscovery = \"platform\"\nentry = \"directory\"\nbeatMs = 1200\n"
         << "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\",\"chunks\"]\n";
    if (isAgent)
        text << "app = \"" << machine.engineAddress << "\"\nservice = \"models\"\n";
    text << "[zones]\nnorth-a = \"north\"\n[listen]\n";
    if (!isAgent)
        text << "front = " << address(Port::Callers) << "ready = " << address(Port::Ready) << "control = " << address(Port::Control) << "directory = " << address(Port::Directory);
    text << "[limits]\ncpuShare = 0.3\ncores = 1\nmemoryMb = 182\nmaxFds = 2870\nlinkMbps = " << machine.linkMbps << "\ndiskMb = 0\n[tolerate]\nmachines = 2\nzones = 0\nregions = 0\n"
         << "[bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = 3000\nackMs = 4000\ncatchUpS = 4\ndrainMs = 2000\ngraceS = 8\nlossSlackMs = 200\nconfigMs = 2000\n"
         << "downgradeMs = 250\nstretchMaxMs = 5000\nstrictRevoke = false\nrevokeMs = 5000\nbudgetRatio = 0.2\nbudgetWindowS = 10\nbudgetSlack = 234\nrecoverS = 12\npassMs = 120\nretryAfterS = 0\nversion_ms = 8000\nversion_all_ms = 0\nttl_max_s = 5\n"
         << "[platform]\naddress = \"" << machine.storeAddress << "\"\nform = \"kv\"\nwritesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\nttlMinMs = 1000\n";
    return text.str();
}

std::string newRequestId()
{
    static std::uint64_t next = std::random_device {}();
    char text[20];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(next++ * 0x9e3779b97f4a7c15u));
    return text;
}

Answer call(const std::string& address, const std::string& method, const std::string& target, const soak::Fields& fields, const std::string& body, Milliseconds timeout)
{
    Answer answer;
    const auto until = soak::now() + timeout;
    const auto left = [until] { return static_cast<int>(std::max<std::int64_t>(0, std::chrono::duration_cast<Milliseconds>(until - soak::now()).count())); };
    const auto endpoint = soak::endpointOf(address);
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const auto fail = [&](const char* problem) {
        answer.status = 0;
        answer.problem = problem;
        ::close(socket);
        return answer;
    };
    ::connect(socket, endpoint.data(), static_cast<socklen_t>(endpoint.size()));
    pollfd watched { socket, POLLOUT, 0 };
    int error = 0;
    socklen_t size = sizeof error;
    if (poll(&watched, 1, left()) <= 0 || getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)
        return fail("not connected");
    const auto text = soak::requestText(method, target, fields, body);
    std::size_t sent = 0;
    soak::MessageReader reader(soak::MessageReader::Kind::Response);
    char buffer[16384];
    for (;;) {
        watched.events = static_cast<short>(POLLIN | (sent < text.size() ? POLLOUT : 0));
        if (poll(&watched, 1, left()) <= 0)
            return fail("time limit");
        if ((watched.revents & POLLOUT) != 0 && sent < text.size()) {
            const auto written = ::send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            sent += written > 0 ? static_cast<std::size_t>(written) : 0;
        }
        if ((watched.revents & (POLLIN | POLLHUP | POLLERR)) == 0)
            continue;
        const auto received = ::recv(socket, buffer, sizeof buffer, 0);
        if (received < 0 && errno == EAGAIN)
            continue;
        if (received < 0)
            return fail("reset");
        if (received == 0 && !reader.endConnection())
            return fail("closed");
        if (received > 0 && !reader.feed({ buffer, static_cast<std::size_t>(received) }))
            return fail("no answer in the protocol");
        if (!reader.isComplete())
            continue;
        answer.status = reader.message().status();
        answer.body = reader.message().body;
        answer.hasSeal = !reader.message().field("Server-Seal").empty();
        ::close(socket);
        return answer;
    }
}

bool waitUntilReady(const std::string& readyAddress, Milliseconds timeout)
{
    const auto until = soak::now() + timeout;
    while (soak::now() < until) {
        if (call(readyAddress, "GET", "/-/ready", { { "Host", readyAddress }, { "Connection", "close" } }, "", Milliseconds(500)).status == 200)
            return true;
        std::this_thread::sleep_for(Milliseconds(20));
    }
    return false;
}

void sleepUntil(TimePoint time) { std::this_thread::sleep_until(time); }

TemporaryFolder::TemporaryFolder()
{
    std::string path = std::filesystem::temp_directory_path() / "hyssopwick-review-XXXXXX";
    if (!mkdtemp(path.data()))
        throw std::runtime_error("no temporary folder");
    m_path = path;
}

TemporaryFolder::~TemporaryFolder()
{
    std::error_code ignored;
    if (!std::getenv("KEEP_LOGS"))
        std::filesystem::remove_all(m_path, ignored);
}

}
