#include "site.h"

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <iostream>
#include <random>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace review {

namespace {

constexpr milliseconds restart_delay{300};
/// Time of an answer of the store.
constexpr milliseconds store_delay{4};
constexpr milliseconds watch_interval{20};
/// Time that the processes have before the clients come.
constexpr milliseconds lead{2500};
constexpr std::chrono::seconds time_limit{100};

std::string answer_text(int status, const std::vector<std::pair<std::string, std::string>>& headers,
                        const std::string& body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (const auto& [name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string store_answer(int status, const std::string& body)
{
    return answer_text(status, {{"Content-Type", "application/json"}, {"Store-Era", "1"}}, body);
}

std::string misdirected_answer(const arrival& a, const std::string& replica)
{
    return answer_text(421, {{"X-Currantpitch-Attempt-Id", a.id}, {"At-Server", replica}}, "");
}

std::string own_answer(const arrival& a, const std::string& replica, int status)
{
    return answer_text(status,
                       {{"X-Currantpitch-Attempt-Id", a.id},
                        {"X-Currantpitch-Replica-Signature", replica + "." + a.id}},
                       "answer to " + a.id);
}

std::string query(const std::string& target, const std::string& name)
{
    const std::size_t mark = target.find('?');
    const std::string text = mark == std::string::npos ? "" : "&" + target.substr(mark + 1);
    const std::size_t begin = text.find("&" + name + "=");
    if (begin == std::string::npos) {
        return {};
    }
    const std::size_t value = begin + name.size() + 2;
    return text.substr(value, text.find('&', value) - value);
}

std::size_t resident_bytes(pid_t pid)
{
    std::ifstream statm("/proc/" + std::to_string(pid) + "/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    statm >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

} // namespace

arguments read_arguments(int argc, char** argv)
{
    if (argc != 5) {
        throw std::runtime_error("usage: CASE PROGRAM REPOSITORY FOLDER RECORD");
    }
    const char* const trouble = std::getenv("TROUBLE");
    return {trouble == nullptr || std::string(trouble) != "0", argv[1], argv[2], argv[3], argv[4]};
}

// ---- the store

void store::put(const std::string& kind, const std::string& name, json::value spec)
{
    ++revision_;
    json::object object;
    object["metadata"] = {{"name", name}, {"revision", revision_}, {"finalizers", json::array()}};
    object["spec"] = std::move(spec);
    object["status"] = json::object();
    history_.push_back({revision_, kind, json::object{{"object", object}, {"deleted", false}}});
    kinds_[kind][name] = std::move(object);
}

json::array store::events(const std::string& kind, std::uint64_t after) const
{
    json::array found;
    for (const change& c : history_) {
        if (c.kind == kind && c.at > after) {
            found.push_back(c.event);
        }
    }
    return found;
}

task<std::pair<int, json::value>> store::answer(const message& call)
{
    constexpr std::string_view root = "/v1/objects/";
    const std::string target = call.word(1);
    const std::string path = target.substr(0, target.find('?'));
    if (path.rfind(root, 0) != 0) {
        co_return std::pair<int, json::value>(404, json::object());
    }
    const std::string rest = path.substr(root.size());
    const std::string kind = rest.substr(0, rest.find('/'));
    const std::string name =
        rest.find('/') == std::string::npos ? "" : rest.substr(rest.find('/') + 1);
    std::map<std::string, json::object>& objects = kinds_[kind];
    const std::string method = call.word(0);
    if (method == "GET" && name.empty() && !query(target, "watch").empty()) {
        const std::uint64_t from = std::strtoull(query(target, "watch").c_str(), nullptr, 10);
        const clock::time_point end =
            clock::now() + milliseconds(std::atoi(query(target, "wait_ms").c_str()));
        while (events(kind, from).empty() && clock::now() < end) {
            co_await pause_for(store_delay);
        }
        json::object found{{"events", events(kind, from)}, {"at", revision_}};
        co_return std::pair<int, json::value>(200, std::move(found));
    }
    if (method == "GET" && name.empty()) {
        json::array entries;
        for (const auto& entry : objects) {
            entries.push_back(entry.second);
        }
        json::object page{{"entries", std::move(entries)}, {"has_more", false}, {"at", revision_}};
        co_return std::pair<int, json::value>(200, std::move(page));
    }
    if (method == "GET") {
        const auto found = objects.find(name);
        co_return found == objects.end() ? std::pair<int, json::value>(404, json::object())
                                         : std::pair<int, json::value>(200, found->second);
    }
    if (method == "DELETE") {
        objects.erase(name);
        co_return std::pair<int, json::value>(200, json::object());
    }
    boost::system::error_code failure;
    const json::value body = json::parse(call.body, failure);
    if (failure || !body.is_object()) {
        co_return std::pair<int, json::value>(400, json::object());
    }
    const json::object& metadata = body.at("metadata").as_object();
    const std::string own_name(metadata.at("name").as_string());
    const auto present = objects.find(own_name);
    const json::value* const expected = metadata.if_contains("revision");
    const bool exists = present != objects.end();
    if (method == "PUT" && !exists) {
        co_return std::pair<int, json::value>(404, json::object());
    }
    const bool other_revision = exists && expected != nullptr &&
                                expected->to_number<std::uint64_t>() !=
                                    present->second.at("metadata").at("revision").as_uint64();
    if ((method == "POST" && exists) || other_revision) {
        co_return std::pair<int, json::value>(409, present->second);
    }
    put(kind, own_name, body.at("spec"));
    co_return std::pair<int, json::value>(200, objects.at(own_name));
}

task<void> store::serve(asio::ip::tcp::socket socket)
{
    connection c(std::move(socket));
    while (true) {
        const std::optional<message> call = co_await c.read();
        if (!call) {
            co_return;
        }
        const std::pair<int, json::value> result = co_await answer(*call);
        if (!co_await c.write(store_answer(result.first, json::serialize(result.second)))) {
            co_return;
        }
    }
}

// ---- the site

site::site(arguments a, json::object limits, json::array tenants)
    : arguments_(std::move(a)), record_(arguments_.record)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::random_device entropy;
    network_ =
        "127." + std::to_string(64 + entropy() % 150) + "." + std::to_string(1 + entropy() % 250);
    store_address_ = network_ + ".200:" + std::to_string(free_port(network_ + ".200"));
    asio::co_spawn(context_,
                   listen(store_address_,
                          [this](asio::ip::tcp::socket s) { return store_.serve(std::move(s)); }),
                   asio::detached);
    configure(std::move(limits), std::move(tenants));
}

site::~site()
{
    ending_ = true;
    for (const std::unique_ptr<gateway>& g : gateways_) {
        if (g->pid > 0) {
            ::kill(g->pid, SIGKILL);
            ::waitpid(g->pid, nullptr, 0);
        }
    }
}

double site::now() const
{
    return std::chrono::duration<double>(clock::now() - began_).count();
}

void site::record(const std::string& line)
{
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f ", now());
    record_ << time << line << std::endl;
}

std::string site::new_id()
{
    char text[32];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(++last_id_));
    return text;
}

const arrival* site::arrival_of(const std::string& id) const
{
    const auto found = arrival_by_id_.find(id);
    return found == arrival_by_id_.end() ? nullptr : &arrivals_[found->second];
}

std::uint16_t site::free_port(const std::string& ip)
{
    asio::ip::tcp::acceptor probe(context_, {asio::ip::make_address(ip), 0});
    return probe.local_endpoint().port();
}

void site::configure(json::object limits, json::array tenants, bool look_is_public)
{
    const auto route = [](const char* prefix, const char* type, int attempts, bool is_public) {
        return json::object{
            {"name", prefix},     {"hostname", "site.example"}, {"path_prefix", prefix},
            {"type", type},       {"timeout_ms", 8000},         {"target_latency_ms", 500},
            {"priority", 1},      {"service", "desk"},          {"max_attempts", attempts},
            {"public", is_public}};
    };
    json::object c;
    c["version"] = version_ += 3;
    c["routes"] = {route("/look/", "idempotent", 2, look_is_public),
                   route("/book/", "non_idempotent", 1, false)};
    c["services"] = {json::object{{"name", "desk"},
                                  {"health_path", "/healthz"},
                                  {"max_conns", 248},
                                  {"protocol", "h1"},
                                  {"tls", false}}};
    c["limits"] = std::move(limits);
    c["tenants"] = std::move(tenants);
    store_.put("config", "main", c);
    record("operator: version " + std::to_string(version_) + " acknowledged, /look/ " +
           (look_is_public ? "public" : "not public") + ", limits " + json::serialize(c["limits"]) +
           ", tenants " + json::serialize(c["tenants"]));
}

void site::add_replica(replica r)
{
    const std::string ip = network_ + "." + std::to_string(100 + replicas_.size());
    r.id = "i-" + std::to_string(replicas_.size() + 1);
    r.address = ip + ":" + std::to_string(free_port(ip));
    replicas_.push_back(std::make_unique<replica>(std::move(r)));
    replica& added = *replicas_.back();
    asio::co_spawn(context_,
                   listen(added.address,
                          [this, &added](asio::ip::tcp::socket s) {
                              return serve_replica(added, std::move(s));
                          }),
                   asio::detached);
    store_.put("servers", added.id,
               json::object{{"service", "desk"},
                            {"address", added.address},
                            {"zone", "zone-a"},
                            {"version", "1"},
                            {"slots", 12},
                            {"phase", "ready"},
                            {"cold_remaining_ms", 0},
                            {"sequence", 1},
                            {"born", 1000 + static_cast<int>(replicas_.size())}});
}

void site::add_gateway()
{
    auto g = std::make_unique<gateway>();
    const std::string ip = network_ + "." + std::to_string(1 + gateways_.size());
    g->name = "edge-zone-a-" + std::to_string(gateways_.size() + 1);
    g->settings_file = arguments_.folder + "/" + g->name + ".yaml";
    g->log_file = arguments_.folder + "/" + g->name + ".log";
    const auto address = [&] {
        return "\"" + ip + ":" + std::to_string(free_port(ip)) + "\"";
    };
    const std::string callers = address();
    g->callers = {asio::ip::make_address(ip), static_cast<std::uint16_t>(std::atoi(
                                                  callers.substr(callers.find(':') + 1).c_str()))};
    // deploy/gateway.yaml with the bounds of DEPLOY.md's example.
    std::ofstream(g->settings_file)
        << "role: gateway\nhost: \"" << g->name << "\"\nfailure_domain: \"zone-a\"\nstore: \""
        << store_address_ << "\"\nstop_timeout: 8s\nlisten:\n  callers: " << callers
        << "\n  directory: " << address() << "\n  readiness: " << address()
        << "\n  peers: " << address() << "\n  metrics: " << address()
        << "\nrevocation_time: 5000ms\nretries:\n  ratio: 0.2\n  slack: 90\n  window: 10s\n";
    gateways_.push_back(std::move(g));
}

void site::start(gateway& g)
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, g.log_file.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    posix_spawn_file_actions_addchdir_np(&actions, arguments_.repository.c_str());
    std::vector<std::string> variables{"CURRANTPITCH_BOOT=" + g.settings_file};
    for (const char* name : {"PATH", "HOME", "LANG"}) {
        if (const char* const value = std::getenv(name)) {
            variables.push_back(std::string(name) + "=" + value);
        }
    }
    std::vector<char*> environment;
    for (std::string& v : variables) {
        environment.push_back(v.data());
    }
    environment.push_back(nullptr);
    char* const words[] = {arguments_.program.data(), nullptr};
    const int failure = ::posix_spawn(&g.pid, arguments_.program.c_str(), &actions, nullptr, words,
                                      environment.data());
    posix_spawn_file_actions_destroy(&actions);
    if (failure != 0) {
        throw std::runtime_error("cannot start " + arguments_.program);
    }
    ++g.starts;
    record("platform: starts " + g.name);
}

void site::change_settings(const std::string& name, const std::string& value)
{
    for (const std::unique_ptr<gateway>& g : gateways_) {
        std::ifstream before(g->settings_file);
        std::string text;
        std::string line;
        while (std::getline(before, line)) {
            text += (line.rfind(name + ":", 0) == 0 ? name + ": " + value : line) + "\n";
        }
        before.close();
        std::ofstream(g->settings_file) << text;
    }
    record("platform: the settings of all gateways hold " + name + ": " + value);
}

void site::stop(gateway& g)
{
    record("platform: SIGTERM to " + g.name);
    g.stopping = true;
    ::kill(g.pid, SIGTERM);
}

task<void> site::keep_running(gateway& g)
{
    start(g);
    while (!ending_) {
        co_await pause_for(watch_interval);
        const std::size_t bytes = resident_bytes(g.pid);
        g.peak_bytes = std::max(g.peak_bytes, bytes);
        if (memory_limit_ > 0 && bytes > memory_limit_) {
            ++g.memory_ends;
            record("platform: " + g.name + " uses " + std::to_string(bytes) +
                   " bytes, over memory_mb; it is killed");
            ::kill(g.pid, SIGKILL);
            ::waitpid(g.pid, nullptr, 0);
        }
        else {
            int status = 0;
            if (::waitpid(g.pid, &status, WNOHANG) != g.pid) {
                continue;
            }
            g.own_ends += g.stopping ? 0 : 1;
            record("platform: " + g.name + (g.stopping ? " has stopped, " : " ended by itself, ") +
                   (WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                        : "code " + std::to_string(WEXITSTATUS(status))));
            g.stopping = false;
        }
        g.pid = 0;
        co_await pause_for(restart_delay);
        if (!ending_) {
            start(g);
        }
    }
}

task<void> site::listen(std::string address, std::function<task<void>(asio::ip::tcp::socket)> serve)
{
    const std::size_t colon = address.find(':');
    const asio::ip::tcp::endpoint endpoint(
        asio::ip::make_address(address.substr(0, colon)),
        static_cast<std::uint16_t>(std::atoi(address.substr(colon + 1).c_str())));
    asio::ip::tcp::acceptor acceptor(co_await asio::this_coro::executor, endpoint);
    while (true) {
        asio::ip::tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
        asio::co_spawn(context_, serve(std::move(socket)), asio::detached);
    }
}

task<void> site::serve_replica(replica& r, asio::ip::tcp::socket socket)
{
    connection c(std::move(socket));
    c.read_slowly(r.bytes_a_step);
    while (true) {
        const std::optional<message> request = co_await c.read();
        if (!request) {
            co_return;
        }
        arrival a;
        a.id = request->header("x-currantpitch-attempt-id");
        a.replica = r.id;
        a.method = request->word(0);
        a.target = request->word(1);
        a.body_bytes = request->body.size();
        a.tenant = request->header("x-currantpitch-tenant");
        a.at = now();
        const std::string expected = request->header("x-currantpitch-expected-replica");
        a.runs = expected.empty() || expected == r.id;
        record("replica " + r.id + ": " + a.id + " " + a.method + " " + a.target + ", " +
               std::to_string(a.body_bytes) + " bytes, tenant " +
               (a.tenant.empty() ? "none" : a.tenant) + (a.runs ? ", runs" : ", 421"));
        if (!a.runs) {
            if (!co_await c.write(misdirected_answer(a, r.id))) {
                co_return;
            }
            continue;
        }
        arrival_by_id_[a.id] = arrivals_.size();
        arrivals_.push_back(a);
        co_await pause_for(r.work);
        const int status = r.status(a);
        if (!co_await c.write(own_answer(a, r.id, status))) {
            co_return;
        }
    }
}

int site::run(std::function<task<bool>(site&)> story)
{
    int code = 2;
    std::exception_ptr failed;
    for (const std::unique_ptr<gateway>& g : gateways_) {
        asio::co_spawn(context_, keep_running(*g), [&](std::exception_ptr e) {
            if (e) {
                failed = e;
                context_.stop();
            }
        });
    }
    asio::co_spawn(
        context_,
        [](site& s, std::function<task<bool>(site&)> told) -> task<bool> {
            co_await pause_for(lead);
            co_return co_await told(s);
        }(*this, std::move(story)),
        [&](std::exception_ptr e, bool held) {
            failed = e;
            code = held ? 0 : 1;
            context_.stop();
        });
    // A stopped case ends the processes that it started, too.
    asio::signal_set stop(context_, SIGTERM, SIGINT);
    stop.async_wait([&](const boost::system::error_code&, int) { context_.stop(); });
    asio::steady_timer limit(context_, time_limit);
    limit.async_wait([&](const boost::system::error_code&) { context_.stop(); });
    context_.run();
    if (code == 2 && !failed) {
        record("the case was stopped");
        return code;
    }
    if (failed) {
        std::rethrow_exception(failed);
    }
    record(code == 0 ? "the rule held" : "the rule was broken");
    return code;
}

std::string encode(const call& c)
{
    std::string text = c.method + " " + c.target + " HTTP/1.1\r\nHost: site.example\r\n" +
                       "X-Currantpitch-Attempt-Id: " + c.id +
                       "\r\nX-Currantpitch-Deadline-Ms: " + std::to_string(c.deadline.count()) +
                       "\r\n";
    if (!c.key.empty()) {
        text += "Authorization: Token " + c.key + "\r\n";
    }
    for (const auto& [name, value] : c.headers) {
        text += name + ": " + value + "\r\n";
    }
    if (!c.body.empty() || c.method == "POST") {
        text += "Content-Length: " + std::to_string(c.body.size()) + "\r\n";
    }
    return text + "\r\n" + c.body;
}

} // namespace review
