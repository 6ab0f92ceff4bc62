#include "fakes/memorystore.h"
#include "intents/configurationfeed.h"
#include "intents/disseminator.h"
#include "intents/synctopology.h"

#include "support/modelrun.h"
#include "support/pausedrun.h"
#include "support/rapidcheck.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace currantpitch::intents;
using namespace std::chrono_literals;

namespace {

sync_member member(std::size_t i, std::size_t domains)
{
    return {core::host_id("h" + std::to_string(i)),
            core::failure_domain_id("fd" + std::to_string(i % domains))};
}

std::vector<sync_member> members_of(std::size_t count, std::size_t domains = 3)
{
    std::vector<sync_member> members;
    for (std::size_t i = 0; i < count; ++i) {
        members.push_back(member(i, domains));
    }
    return members;
}

// Simulates processes that disseminate configuration over links with delays and losses. Each link
// is a connection that delivers in order until it fails. The store is a list of changes.
class sync_simulation {
public:
    sync_simulation(std::size_t count, std::uint64_t seed)
        : members_(members_of(count)), random_(seed)
    {
        processes_.resize(count);
        for (std::size_t i = 0; i < count; ++i) {
            for (const core::host_id& peer : peers_to_dial(members_[i], members_)) {
                links_[{i, index_of(peer)}] = true;
            }
        }
        for (std::size_t i = 0; i < count; ++i) {
            start_process(i);
        }
    }

    std::size_t size() const { return processes_.size(); }
    bool relay(std::size_t i) const { return relays_of(members_).contains(members_[i].host); }

    void write(const std::string& name, bool deleted)
    {
        const core::revision version{store_.size() + 1};
        store_.push_back({{"Workspace", name}, version, deleted ? "" : "{}", deleted});
    }

    void start_process(std::size_t i)
    {
        processes_[i] = std::make_unique<disseminator>();
        watch_position_[i] = 0;
        applied_versions_[i].clear();
        for (const std::pair<const std::pair<std::size_t, std::size_t>, bool>& link : links_) {
            if (link.first.first == i || link.first.second == i) {
                reconnect(link.first.first, link.first.second);
            }
        }
    }

    // Lets a relay read one watch event. Other processes receive changes from peers.
    void read_watch(std::size_t i)
    {
        if (!relay(i) || platform_unreachable || silent_watches.contains(i)) {
            return;
        }
        if (processes_[i]->complete() == core::revision{} || processes_[i]->needs_listing()) {
            list(i);
            return;
        }
        const std::uint64_t next =
            std::max<std::uint64_t>(watch_position_[i], processes_[i]->complete().value);
        if (next < store_.size()) {
            watch_position_[i] = next + 1;
            const objectstore::object& o = store_[next];
            send(i, processes_[i]->on_watch_event({o, o.version}, now));
            check_versions(i);
        }
    }
    // Lets a relay read its watch to the end. A real watch does not stop after one event.
    void drain_watch(std::size_t i)
    {
        for (std::size_t n = 0; n <= store_.size(); ++n) {
            read_watch(i);
        }
    }
    void list(std::size_t i)
    {
        std::map<objectstore::object_key, objectstore::object> current;
        for (const objectstore::object& o : store_) {
            current[o.key] = o;
        }
        objectstore::listing l{core::revision{store_.size()}, {}};
        for (const std::pair<const objectstore::object_key, objectstore::object>& entry : current) {
            if (!entry.second.deleted) {
                l.objects.push_back(entry.second);
            }
        }
        send(i, processes_[i]->on_listing(l, now));
        check_versions(i);
    }
    void send_statuses(std::size_t i) { send(i, processes_[i]->statuses()); }

    // Delivers the first message of a random link.
    void deliver(std::size_t choice, double loss)
    {
        if (queues_.empty()) {
            return;
        }
        auto queue = queues_.begin();
        std::advance(queue, static_cast<std::ptrdiff_t>(choice % queues_.size()));
        const std::size_t from = queue->first.first;
        const std::size_t to = queue->first.second;
        const sync_outgoing message = std::move(queue->second.front());
        queue->second.pop_front();
        if (queue->second.empty()) {
            queues_.erase(queue);
        }
        // A connection that loses a message has failed. It is replaced and both ends start over.
        if (std::uniform_real_distribution<double>(0, 1)(random_) < loss) {
            reconnect(from, to);
            return;
        }
        const core::host_id sender = members_[from].host;
        if (const sync_status* status = std::get_if<sync_status>(&message.message)) {
            send(to, processes_[to]->on_status(sender, *status, now));
        }
        else {
            send(to,
                 processes_[to]->on_changes(sender, std::get<sync_changes>(message.message), now));
        }
        check_versions(to);
    }
    std::size_t in_flight() const { return queues_.size(); }

    bool converged() const
    {
        for (const std::unique_ptr<disseminator>& p : processes_) {
            if (p->complete() != core::revision{store_.size()}) {
                return false;
            }
        }
        return true;
    }
    // Checks that each process holds the content of the store at its complete revision.
    void check_contents() const
    {
        for (const std::unique_ptr<disseminator>& p : processes_) {
            std::map<objectstore::object_key, objectstore::object> expected;
            for (const objectstore::object& o : store_) {
                if (o.version <= p->complete()) {
                    expected[o.key] = o;
                }
            }
            for (const std::pair<const objectstore::object_key, objectstore::object>& e :
                 expected) {
                const objectstore::object* const held = p->local_replica().find(e.first);
                const bool newer = held != nullptr && held->version > e.second.version;
                const bool same = e.second.deleted
                                      ? held == nullptr
                                      : held != nullptr && held->version == e.second.version;
                // An object newer than the complete revision may have arrived already.
                const auto raw = p->local_replica().objects().find(e.first);
                const bool newer_deletion = raw != p->local_replica().objects().end() &&
                                            raw->second.version > e.second.version;
                RC_ASSERT((newer || same || newer_deletion));
            }
        }
    }

    core::time_point now{1h};
    bool platform_unreachable = false;
    std::set<std::size_t> silent_watches;

private:
    std::size_t index_of(const core::host_id& host) const
    {
        return static_cast<std::size_t>(std::stoul(host.str().substr(1)));
    }
    void reconnect(std::size_t a, std::size_t b)
    {
        queues_.erase({a, b});
        queues_.erase({b, a});
        if (!processes_[a] || !processes_[b]) {
            return;
        }
        processes_[a]->on_peer_down(members_[b].host);
        processes_[b]->on_peer_down(members_[a].host);
        send(a, processes_[a]->on_peer_up(members_[b].host));
        send(b, processes_[b]->on_peer_up(members_[a].host));
    }
    void send(std::size_t from, std::vector<sync_outgoing> messages)
    {
        for (sync_outgoing& m : messages) {
            const std::size_t to = index_of(m.peer);
            queues_[{from, to}].push_back(std::move(m));
        }
    }
    // Checks that the versions held by a process never decrease.
    void check_versions(std::size_t i)
    {
        for (const objectstore::object& o : processes_[i]->take_applied()) {
            core::revision& highest = applied_versions_[i][o.key];
            RC_ASSERT(o.version > highest);
            highest = o.version;
        }
    }

    std::vector<sync_member> members_;
    std::mt19937_64 random_;
    std::vector<objectstore::object> store_;
    std::vector<std::unique_ptr<disseminator>> processes_;
    std::map<std::pair<std::size_t, std::size_t>, bool> links_;
    std::map<std::pair<std::size_t, std::size_t>, std::deque<sync_outgoing>> queues_;
    std::map<std::size_t, std::uint64_t> watch_position_;
    std::map<std::size_t, std::map<objectstore::object_key, core::revision>> applied_versions_;
};

void run_simulation(testing::script& s)
{
    sync_simulation simulation(6, 7);
    while (!s.done()) {
        s.next_command();
        const std::size_t process = s.choose(simulation.size());
        switch (s.choose(10)) {
        case 0:
        case 1:
            simulation.write(std::string(1, static_cast<char>('a' + s.choose(5))),
                             s.choose(3) == 0);
            break;
        case 2:
        case 3:
            simulation.read_watch(process);
            break;
        case 4:
        case 5:
        case 6:
            simulation.deliver(s.choose(1000), s.choose(10) == 0 ? 1.0 : 0.0);
            break;
        case 7:
            simulation.send_statuses(process);
            simulation.now += 100ms * s.choose(10);
            break;
        case 8:
            simulation.platform_unreachable = s.choose(2) == 0;
            if (s.choose(2) == 0) {
                simulation.silent_watches.insert(process);
            }
            else {
                simulation.silent_watches.erase(process);
            }
            break;
        default:
            if (s.choose(4) == 0) {
                simulation.start_process(process);
            }
            break;
        }
    }
    simulation.check_contents();
    // After the faults end, every process receives all changes.
    simulation.platform_unreachable = false;
    simulation.silent_watches.clear();
    for (int round = 0; round < 60 && !(simulation.converged() && simulation.in_flight() == 0);
         ++round) {
        simulation.now += status_interval;
        for (std::size_t i = 0; i < simulation.size(); ++i) {
            simulation.drain_watch(i);
            simulation.send_statuses(i);
        }
        for (int i = 0; i < 2000 && simulation.in_flight() > 0; ++i) {
            simulation.deliver(static_cast<std::size_t>(i), 0);
        }
    }
    RC_ASSERT(simulation.converged());
    simulation.check_contents();
}

} // namespace

TEST_GROUP(dissemination){};

TEST(dissemination, versions_never_decrease_and_all_changes_arrive)
{
    CHECK_TRUE(testing::check_model("dissemination", run_simulation));
}

TEST(dissemination, each_process_reaches_a_relay_and_relays_reach_each_other)
{
    for (const std::size_t count : {1U, 2U, 3U, 7U, 9U, 64U}) {
        const std::vector<sync_member> members = members_of(count);
        const std::set<core::host_id> relays = relays_of(members);
        CHECK(relays.size() <= 3 * relays_per_failure_domain);
        for (const sync_member& m : members) {
            const bool has_peer = !peers_to_dial(m, members).empty();
            CHECK(has_peer || relays.contains(m.host));
        }
    }
}

TEST(dissemination, process_is_not_ready_while_a_peer_is_ahead)
{
    disseminator fresh;
    CHECK(!fresh.ready());
    const core::host_id peer("p");
    fresh.on_peer_up(peer);
    fresh.on_listing({core::revision{3}, {}}, {});
    CHECK(fresh.ready());
    fresh.on_status(peer, {core::revision{5}, core::revision{5}, 0}, {});
    CHECK(!fresh.ready());
    fresh.on_changes(peer, {core::revision{3}, core::revision{5}, false, {}}, {});
    CHECK(fresh.ready());
}

TEST(dissemination, peer_supplies_the_configuration_while_the_platform_is_unreachable)
{
    disseminator old;
    old.on_listing({core::revision{9}, {{{"Workspace", "w"}, core::revision{4}, "{}", false}}}, {});
    disseminator fresh;
    const core::host_id a("a");
    const core::host_id b("b");
    old.on_peer_up(b);
    const std::vector<sync_outgoing> hello = fresh.on_peer_up(a);
    const std::vector<sync_outgoing> answer =
        old.on_status(b, std::get<sync_status>(hello.at(0).message), {});
    fresh.on_changes(a, std::get<sync_changes>(answer.at(0).message), {});
    CHECK(fresh.ready());
    CHECK(fresh.local_replica().find({"Workspace", "w"}) != nullptr);
}

TEST(dissemination, content_hash_mismatch_requires_a_new_listing)
{
    disseminator p;
    const core::host_id peer("p");
    p.on_peer_up(peer);
    p.on_listing({core::revision{3}, {}}, {});
    p.on_status(peer, {core::revision{3}, core::revision{3}, 77}, {});
    CHECK(p.needs_listing());
    p.on_listing({core::revision{3}, {{{"Workspace", "w"}, core::revision{2}, "{}", false}}}, {});
    CHECK(!p.needs_listing());
    CHECK(p.local_replica().find({"Workspace", "w"}) != nullptr);
}

TEST_GROUP(feeds)
{
    testing::paused_run run;
    fakes::memory_store store{run.executor()};
    disseminator configuration;
    configuration_feed<fakes::memory_store> feed{store, configuration, 1};

    void setup() override
    {
        feed.must_watch = [] {
            return true;
        };
        feed.on_update = [](std::vector<sync_outgoing>) {
        };
        run.spawn(feed.run());
        run.advance(1s);
    }
    void write(const std::string& name)
    {
        run.spawn([](fakes::memory_store& s, std::string n) -> core::task<void> {
            const objectstore::object_key key{"Workspace", n};
            const objectstore::call_context call{"test", core::runtime_clock::now() + 1s};
            co_await s.put(key, "{}", {}, call);
        }(store, name));
    }
    bool holds(const std::string& name)
    {
        return configuration.local_replica().find({"Workspace", name}) != nullptr;
    }
};

TEST(feeds, idle_watch_is_replaced_and_no_change_is_missed)
{
    store.faults.watches_silent = true;
    write("a");
    run.advance(1s);
    CHECK(!holds("a"));
    run.advance(2s);
    CHECK(holds("a"));
}

TEST(feeds, feed_resumes_after_a_store_outage)
{
    store.faults.unavailable = true;
    run.advance(10s);
    store.faults.unavailable = false;
    write("a");
    run.advance(3s);
    CHECK(holds("a"));
}

TEST(feeds, watch_is_opened_once_while_nothing_fails)
{
    run.advance(60s);
    LONGS_EQUAL(1, store.calls["configuration_watch"]);
    LONGS_EQUAL(1, store.calls["configuration_list"]);
}
