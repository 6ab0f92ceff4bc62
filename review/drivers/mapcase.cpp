// Cases 1 and 2: runs the rank agents of one group as processes and plays the platform's store and
// the engines of the ranks. Exits with 1 when a step of the group begins with two maps.
//
// Trouble: one machine freezes once for a short time while its group arms a switch, and some orders
// get no answer and are carried out seconds later. In the case "leader" the machine is that of the
// leading agent, in the case "member" that of another agent.
#include "core/timer.h"
#include "fakes/rankgroup.h"
#include "http/serverconnection.h"
#include "standins/standincaller.h"
#include "standins/standinengine.h"
#include "standins/standinstore.h"
#include "wire/framedconnection.h"

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace currantpitch;
using namespace currantpitch::platform::standins;
using namespace std::chrono_literals;
namespace rc = currantpitch::rankcontrol;
namespace asio = currantpitch::core::asio;

namespace {

enum exit_code { exit_held = 0, exit_broken = 1, exit_not_run = 2 };

/// The sheet of the site: groups of 12 ranks, 4 sets of 72 experts, 8 places a rank and set, 3 of
/// them for experts that are new to the rank.
constexpr std::size_t rank_count = 12;
const rc::layout_shape shape{rank_count, 4, 72, 8, 3};
constexpr const char* service_name = "draft";
/// The first rank has the lowest address, so that its agent leads while it lives.
constexpr std::uint32_t leading_rank = 0;
/// Case leader: rank whose first arm order stays unanswered. The group is in the arming phase until
/// the agent has sent the order again.
constexpr std::uint32_t slow_rank = rank_count - 1;
/// Case member: rank whose machine freezes.
constexpr std::uint32_t frozen_member = 5;
constexpr std::chrono::milliseconds step_interval = 15ms;
constexpr std::chrono::milliseconds expert_copy_time = 200ms;
/// Other experts become the most requested ones at this interval. In between, the group has time to
/// settle on a map.
constexpr std::chrono::milliseconds demand_shift_interval = 8000ms;
constexpr std::uint64_t popular_expert_tokens = 400;
constexpr std::uint64_t other_expert_tokens = 11;
/// The pages let a machine freeze for up to 4 s.
constexpr std::chrono::milliseconds leader_freeze_time = 2000ms;
constexpr std::chrono::milliseconds member_freeze_time = 950ms;
/// Case leader: time from the first arm order of a switch to the freeze.
constexpr std::chrono::milliseconds freeze_delay = 70ms;
/// The pages let an order be carried out 2 to 12 s after it was sent.
constexpr std::chrono::milliseconds order_lateness = 2100ms;
/// Case leader: number of disarm orders after the freeze that stay unanswered.
constexpr int unanswered_disarms = 2;
/// Case member: number of arm orders after the freeze that stay unanswered, and of release orders.
/// The disarm orders stay unanswered until the first of these arm orders is carried out.
constexpr int unanswered_arms = 4;
constexpr int unanswered_releases = 2;
/// Switches before the trouble, which show that the group switches, and the least age of the
/// running map at the trouble.
constexpr std::uint64_t switches_before_trouble = 1;
constexpr std::chrono::milliseconds min_map_age = 3500ms;
constexpr std::uint16_t peer_port = 41340;
constexpr std::uint16_t metrics_port = 41355;
constexpr std::uint16_t engine_port = 41228;
constexpr std::uint16_t store_port = 41223;
constexpr std::chrono::seconds run_time{60};

class recorder {
public:
    explicit recorder(const std::string& path) : out_(path), began_(core::runtime_clock::now()) {}
    template <class... Parts>
    void line(const Parts&... parts)
    {
        out_ << core::to_milliseconds(core::runtime_clock::now() - began_) << " ms";
        ((out_ << ' ' << parts), ...);
        out_ << std::endl;
    }

private:
    std::ofstream out_;
    core::time_point began_;
};

/// A process with the command of the deploy file: the program, and the path of the settings in the
/// environment.
class agent_process {
public:
    agent_process(const std::string& program, const std::string& settings, const std::string& log)
    {
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                         O_WRONLY | O_CREAT | O_TRUNC, 0644);
        posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
        posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
        std::string path = program;
        std::string variable = "CURRANTPITCH_BOOT=" + settings;
        char* const arguments[] = {path.data(), nullptr};
        char* const environment[] = {variable.data(), nullptr};
        if (::posix_spawn(&pid_, program.c_str(), &actions, nullptr, arguments, environment) != 0) {
            pid_ = 0;
        }
        posix_spawn_file_actions_destroy(&actions);
    }
    agent_process(const agent_process&) = delete;
    agent_process& operator=(const agent_process&) = delete;
    ~agent_process()
    {
        if (pid_ > 0) {
            ::kill(pid_, SIGKILL);
            ::kill(pid_, SIGCONT);
            ::waitpid(pid_, nullptr, 0);
        }
    }
    void signal(int number) const
    {
        if (pid_ > 0) {
            ::kill(pid_, number);
        }
    }
    bool running() const { return pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == 0; }

private:
    pid_t pid_ = 0;
};

struct order_call {
    rc::order_kind kind = rc::order_kind::load;
    core::map_version version;
    core::step_number step;
};

/// The site: store, engines, agents, and the trouble.
class site {
public:
    site(const asio::any_io_executor& executor, std::string folder, std::string program,
         bool trouble, bool member_case, recorder& record)
        : executor_(executor), folder_(std::move(folder)), program_(std::move(program)),
          trouble_(trouble), frozen_rank_(member_case ? frozen_member : leading_rank),
          record_(record), store_(executor), group_(shape)
    {
        for (std::uint32_t rank = 0; rank < rank_count; ++rank) {
            engines_.push_back(std::make_unique<standin_engine>(group_, shape, rank));
            handlers_.push_back(std::make_unique<engine_handler>(engine_handler{*this, rank}));
        }
    }

    bool start();
    core::task<void> run_group();
    core::task<int> judge();

private:
    struct engine_handler {
        site& owner;
        std::uint32_t rank;
        core::task<void> operator()(http::server_connection& c, const http::request& call)
        {
            return owner.serve(rank, c, call);
        }
    };

    std::string ip(unsigned kind, std::size_t number) const
    {
        return "127." + block_ + "." + std::to_string(kind) + "." + std::to_string(number + 1);
    }
    template <class Handler>
    bool listen(const std::string& address, std::uint16_t port, Handler& handler)
    {
        listeners_.push_back(std::make_unique<asio::ip::tcp::acceptor>(executor_));
        const core::result<void> opened =
            wire::open_listener(*listeners_.back(), {asio::ip::make_address(address), port});
        if (!opened) {
            record_.line("cannot listen:", opened.error().detail);
            return false;
        }
        core::spawn(executor_, http::serve(*listeners_.back(), handler));
        return true;
    }
    core::task<void> serve(std::uint32_t rank, http::server_connection& c, http::request call);
    /// Whether the order stays unanswered and is carried out late.
    bool stays_unanswered(std::uint32_t rank, const order_call& order);
    bool late_in_leader_case(std::uint32_t rank, const order_call& order);
    bool late_in_member_case(std::uint32_t rank, const order_call& order);
    core::task<void> carry_out_late(std::uint32_t rank, http::request call);
    core::task<void> freeze(std::chrono::milliseconds delay, std::chrono::milliseconds time);

    asio::any_io_executor executor_;
    std::string folder_;
    std::string program_;
    bool trouble_;
    std::uint32_t frozen_rank_;
    recorder& record_;
    std::string block_;
    standin_store store_;
    standin_store_server store_server_{store_};
    fakes::rank_group group_;
    std::vector<std::unique_ptr<standin_engine>> engines_;
    std::vector<std::unique_ptr<engine_handler>> handlers_;
    std::vector<std::unique_ptr<asio::ip::tcp::acceptor>> listeners_;
    std::vector<std::unique_ptr<agent_process>> agents_;
    /// Version of the switch during which the machine freezes; zero before it.
    core::map_version troubled_;
    core::time_point switched_at_;
    bool frozen_ = false;
    bool slow_arm_seen_ = false;
    bool thawed_ = false;
    int disarms_left_ = unanswered_disarms;
    int arms_left_ = unanswered_arms;
    int releases_left_ = unanswered_releases;
    bool late_arm_carried_out_ = false;
    bool disarmed_ = false;
    std::uint64_t orders_ = 0;
    std::uint64_t unanswered_ = 0;
};

bool site::start()
{
    declared_configuration c;
    c.version = 3;
    c.host = "site.example";
    c.routes = {{"/talk/", service_name, declared_route::kind::stream, 8000ms, 2}};
    c.workspaces = {{"alpha", {"key-alpha-1"}}};
    c.group_service = service_name;
    c.layers = static_cast<unsigned>(shape.layers);
    c.experts = static_cast<unsigned>(shape.experts);
    c.expert_slots_per_rank = static_cast<unsigned>(shape.expert_slots_per_rank);
    c.new_per_rank = static_cast<unsigned>(shape.new_per_rank);
    c.slots = 12;
    store_.put({"config", "main"}, boost::json::parse(encode_configuration(c)));
    // A block of addresses that no other run uses: the store's listener marks it as taken.
    constexpr unsigned blocks = 200;
    bool listening = false;
    for (unsigned i = 0; i < blocks && !listening; ++i) {
        block_ = std::to_string(20 + (static_cast<unsigned>(::getpid()) + i) % blocks);
        listening = listen(ip(3, 0), store_port, store_server_);
    }
    if (!listening) {
        return false;
    }
    for (std::uint32_t rank = 0; rank < rank_count; ++rank) {
        const std::string address = ip(1, rank);
        if (!listen(address, engine_port, *handlers_[rank])) {
            return false;
        }
        const std::string domain = "fd-" + std::to_string(rank % 3);
        store_.put({"servers", "i-" + std::to_string(100 + rank)},
                   boost::json::parse(encode_registration(
                       service_name, address + ":" + std::to_string(engine_port), domain, 12, false,
                       core::incarnation{1})));
        const std::string name = "side-" + std::to_string(rank);
        const std::string settings = folder_ + "/" + name + ".yaml";
        // The text of deploy/rankagent.yaml, filled in.
        std::ofstream(settings) << "role: rank-agent\nhost: \"" << name << "\"\nfailure_domain: \""
                                << domain << "\"\nstore: \"" << ip(3, 0) << ":" << store_port
                                << "\"\nstop_timeout: 8s\nlisten:\n  peers: \"" << address << ":"
                                << peer_port << "\"\n  metrics: \"" << address << ":"
                                << metrics_port << "\"\nengine:\n  address: \"" << address << ":"
                                << engine_port << "\"\n  service: \"" << service_name << "\"\n";
        agents_.push_back(
            std::make_unique<agent_process>(program_, settings, folder_ + "/" + name + ".log"));
    }
    return true;
}

core::task<void> site::serve(std::uint32_t rank, http::server_connection& c, http::request call)
{
    while (frozen_ && rank == frozen_rank_) {
        // The engine stands still with its machine.
        co_await core::sleep_for(5ms);
    }
    if (call.path() != "/v1/order") {
        co_await engines_[rank]->serve(c, call);
        co_return;
    }
    boost::system::error_code failure;
    const boost::json::value body = boost::json::parse(call.body, failure);
    if (failure || !body.is_object()) {
        co_await engines_[rank]->serve(c, call);
        co_return;
    }
    const boost::json::object& o = body.get_object();
    const auto number = [&o](std::string_view field) {
        const boost::json::value* const v = o.if_contains(field);
        return v == nullptr ? std::uint64_t{0} : v->to_number<std::uint64_t>();
    };
    const std::string operation(o.at("operation").as_string());
    order_call order;
    order.kind = operation == "arm"      ? rc::order_kind::arm
                 : operation == "disarm" ? rc::order_kind::disarm
                 : operation == "hold"   ? rc::order_kind::hold
                 : operation == "go"     ? rc::order_kind::release
                                         : rc::order_kind::load;
    order.version.value = number("version");
    order.step.value = number("step");
    ++orders_;
    const bool late = stays_unanswered(rank, order);
    record_.line("order", operation, "rank", rank, "version", order.version.value, "step",
                 order.step.value, "group at step", group_.step().value,
                 late ? "gets no answer, is carried out late" : "carried out");
    if (!late) {
        co_await engines_[rank]->serve(c, call);
        co_return;
    }
    ++unanswered_;
    core::spawn(executor_, carry_out_late(rank, call));
    // The agent gives the call up and closes the connection before this ends.
    co_await core::sleep_for(order_lateness);
    c.close();
}

bool site::stays_unanswered(std::uint32_t rank, const order_call& order)
{
    if (!trouble_ || group_.switches() < switches_before_trouble) {
        return false;
    }
    return frozen_rank_ == leading_rank ? late_in_leader_case(rank, order)
                                        : late_in_member_case(rank, order);
}

bool site::late_in_leader_case(std::uint32_t rank, const order_call& order)
{
    const bool settled = core::runtime_clock::now() - switched_at_ >= min_map_age;
    if (order.kind == rc::order_kind::arm && troubled_.value == 0 && settled) {
        troubled_ = order.version;
        core::spawn(executor_, freeze(freeze_delay, leader_freeze_time));
    }
    if (order.kind == rc::order_kind::arm && order.version == troubled_ && rank == slow_rank &&
        !slow_arm_seen_) {
        slow_arm_seen_ = true;
        return true;
    }
    if (order.kind == rc::order_kind::disarm && order.version == troubled_ && thawed_ &&
        rank == leading_rank && disarms_left_ > 0) {
        --disarms_left_;
        return true;
    }
    return false;
}

bool site::late_in_member_case(std::uint32_t rank, const order_call& order)
{
    if (order.kind == rc::order_kind::hold && !frozen_ && !thawed_) {
        // The arm orders follow this one, so they find the machine frozen.
        core::spawn(executor_, freeze(0ms, member_freeze_time));
        return false;
    }
    if (order.kind == rc::order_kind::arm && rank == frozen_rank_ && thawed_ && arms_left_ > 0) {
        --arms_left_;
        troubled_ = order.version;
        return true;
    }
    if (order.kind == rc::order_kind::disarm && order.version == troubled_ &&
        rank == frozen_rank_ && !disarmed_) {
        disarmed_ = late_arm_carried_out_;
        return !disarmed_;
    }
    if (order.kind == rc::order_kind::release && disarmed_ && releases_left_ > 0) {
        --releases_left_;
        return true;
    }
    return false;
}

core::task<void> site::carry_out_late(std::uint32_t rank, http::request call)
{
    co_await core::sleep_for(order_lateness);
    const boost::json::value body = boost::json::parse(call.body);
    const std::string operation(body.at("operation").as_string());
    rc::engine_order order;
    order.epoch.value = body.at("epoch").to_number<std::uint64_t>();
    if (body.as_object().contains("version")) {
        order.version.value = body.at("version").to_number<std::uint64_t>();
    }
    if (body.as_object().contains("step")) {
        order.step.value = body.at("step").to_number<std::uint64_t>();
    }
    order.kind = operation == "arm"  ? rc::order_kind::arm
                 : operation == "go" ? rc::order_kind::release
                                     : rc::order_kind::disarm;
    const rc::order_result result = group_.order(rank, order);
    late_arm_carried_out_ = late_arm_carried_out_ || order.kind == rc::order_kind::arm;
    record_.line("late order", operation, "rank", rank, "version", order.version.value, "step",
                 order.step.value, "group at step", group_.step().value,
                 result == rc::order_result::refused ? "refused" : "carried out");
}

core::task<void> site::freeze(std::chrono::milliseconds delay, std::chrono::milliseconds time)
{
    if (delay.count() > 0) {
        co_await core::sleep_for(delay);
    }
    record_.line("machine of rank", frozen_rank_, "freezes");
    frozen_ = true;
    agents_[frozen_rank_]->signal(SIGSTOP);
    co_await core::sleep_for(time);
    agents_[frozen_rank_]->signal(SIGCONT);
    frozen_ = false;
    thawed_ = true;
    record_.line("machine of rank", frozen_rank_, "wakes");
}

core::task<void> site::run_group()
{
    core::time_point last_copy = core::runtime_clock::now();
    const core::time_point began = last_copy;
    std::uint64_t switches = 0;
    while (true) {
        co_await core::sleep_for(step_interval);
        const core::time_point now = core::runtime_clock::now();
        if (now - last_copy >= expert_copy_time) {
            last_copy = now;
            for (std::uint32_t rank = 0; rank < rank_count; ++rank) {
                group_.finish_loading(rank);
            }
        }
        // A pass needs all ranks.
        if (frozen_ || !group_.begin_step()) {
            continue;
        }
        if (group_.switches() != switches) {
            switches = group_.switches();
            switched_at_ = now;
            std::string maps;
            for (std::uint32_t rank = 0; rank < rank_count; ++rank) {
                maps += " " + std::to_string(group_.state(rank).active.value);
            }
            record_.line("step", group_.step().value,
                         "begins with the maps of ranks 0 to 11:" + maps);
        }
        const std::size_t first_popular =
            static_cast<std::size_t>((now - began) / demand_shift_interval) * 7 % shape.experts;
        for (const std::unique_ptr<standin_engine>& engine : engines_) {
            for (std::size_t layer = 0; layer < shape.layers; ++layer) {
                for (std::size_t e = 0; e < shape.experts; ++e) {
                    const bool popular = (e + shape.experts - first_popular) % shape.experts < 3;
                    engine->count(layer, static_cast<rc::expert>(e),
                                  popular ? popular_expert_tokens : other_expert_tokens);
                }
            }
        }
    }
}

core::task<int> site::judge()
{
    const core::time_point end = core::runtime_clock::now() + run_time;
    while (core::runtime_clock::now() < end && group_.violation().empty()) {
        co_await core::sleep_for(50ms);
        for (const std::unique_ptr<agent_process>& agent : agents_) {
            if (!agent->running()) {
                record_.line("an agent has ended");
                co_return exit_not_run;
            }
        }
    }
    record_.line("orders", orders_, "unanswered", unanswered_, "switches", group_.switches());
    if (!group_.violation().empty()) {
        record_.line("MAP is broken:", group_.violation());
        co_return exit_broken;
    }
    const bool troubled = !trouble_ || thawed_;
    if (group_.switches() <= switches_before_trouble || !troubled) {
        record_.line("too few switches for the case");
        co_return exit_not_run;
    }
    record_.line("MAP held: every step began with one map");
    co_return exit_held;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 6) {
        std::cerr << "usage: mapcase leader|member PROGRAM FOLDER RECORD TROUBLE\n";
        return exit_not_run;
    }
    std::signal(SIGPIPE, SIG_IGN);
    recorder record(argv[4]);
    asio::io_context context{1};
    int code = exit_not_run;
    {
        site s(context.get_executor(), argv[3], argv[2], std::string(argv[5]) != "0",
               std::string(argv[1]) == "member", record);
        if (s.start()) {
            core::spawn(context.get_executor(), s.run_group());
            core::spawn(context.get_executor(),
                        [](site& judged, asio::io_context& c, int& result) -> core::task<void> {
                            result = co_await judged.judge();
                            c.stop();
                        }(s, context, code));
            context.run();
        }
        // The destructors of the site end the agents.
    }
    std::_Exit(code);
}
