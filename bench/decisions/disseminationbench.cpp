#include "decisions/disseminationbench.h"

#include "intents/disseminator.h"
#include "intents/intentsconstants.h"
#include "intents/synctopology.h"
#include "objectstore/objectstoreconstants.h"

#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace currantpitch::bench {

namespace {

using namespace std::chrono_literals;
using intents::sync_outgoing;

constexpr std::size_t domain_count = 3;
constexpr std::chrono::microseconds link_delay = 1500us;
constexpr std::chrono::milliseconds watch_delay = 5ms;
constexpr double loss_rate = 0.33;
constexpr std::chrono::milliseconds reconnect_delay = 100ms;
constexpr std::chrono::milliseconds change_interval = 700ms;
constexpr int change_count = 60;
constexpr std::size_t wire_overhead_bytes = 12;
constexpr std::size_t status_bytes = 30;

/// A scheduled event of the simulation. For the kind watch, `to` is the index of the stored object.
struct sync_event {
    enum class kind { message, status, change, watch, reconnect } type = kind::status;
    std::size_t from = 0;
    std::size_t to = 0;
    std::uint64_t link_incarnation = 0;
    sync_outgoing message;
};

/// Simulates processes, links and a store with a queue of events in simulated time.
class sync_simulation {
public:
    sync_simulation(std::size_t count, std::uint64_t seed) : random_(seed)
    {
        for (std::size_t i = 0; i < count; ++i) {
            members_.push_back({core::host_id("h" + std::to_string(i)),
                                core::failure_domain_id("fd" + std::to_string(i % domain_count))});
            processes_.push_back(std::make_unique<intents::disseminator>());
        }
        relays_ = intents::relays_of(members_);
        for (std::size_t i = 0; i < count; ++i) {
            processes_[i]->on_listing({core::revision{}, {}}, now_);
            for (const core::host_id& peer : intents::peers_to_dial(members_[i], members_)) {
                connect(i, index_of(peer));
            }
            schedule(std::chrono::milliseconds(random_() % 500),
                     {sync_event::kind::status, i, 0, 0, {}});
        }
        lossy_link_ =
            links_.empty() ? std::pair<std::size_t, std::size_t>() : links_.begin()->first;
        silent_relay_ = relays_.empty() ? 0 : index_of(*relays_.begin());
    }

    void run()
    {
        for (int i = 0; i < change_count; ++i) {
            schedule(change_interval * (i + 1), {sync_event::kind::change, 0, 0, 0, {}});
        }
        const core::time_point end = now_ + change_interval * (change_count + 10);
        while (!events_.empty() && events_.begin()->first <= end) {
            now_ = events_.begin()->first;
            const sync_event event = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            handle(event);
        }
    }

    /// Returns for each change the seconds from its acceptance until every process had it in force,
    /// or 1e9 if that did not happen.
    std::vector<double> in_force_seconds() const
    {
        std::vector<double> seconds;
        for (const std::pair<const std::uint64_t, core::time_point>& accepted : accepted_at_) {
            const auto done = in_force_at_.find(accepted.first);
            seconds.push_back(
                done == in_force_at_.end()
                    ? 1e9
                    : std::chrono::duration<double>(done->second - accepted.second).count());
        }
        return seconds;
    }
    std::size_t watches() const { return relays_.size(); }
    double max_bytes_per_second() const
    {
        double max_bytes = 0;
        for (const std::pair<const std::size_t, double>& b : bytes_by_process_) {
            max_bytes = std::max(max_bytes, b.second);
        }
        return max_bytes / std::chrono::duration<double>(now_ - start_).count();
    }

private:
    std::size_t index_of(const core::host_id& host) const
    {
        return static_cast<std::size_t>(std::stoul(host.str().substr(1)));
    }
    void schedule(core::duration after, sync_event event)
    {
        events_.emplace(now_ + after, std::move(event));
    }
    static std::pair<std::size_t, std::size_t> link_between(std::size_t a, std::size_t b)
    {
        return {std::min(a, b), std::max(a, b)};
    }
    void connect(std::size_t a, std::size_t b)
    {
        ++links_[link_between(a, b)];
        send(a, processes_[a]->on_peer_up(members_[b].host));
        send(b, processes_[b]->on_peer_up(members_[a].host));
    }
    void send(std::size_t from, std::vector<sync_outgoing> messages)
    {
        for (sync_outgoing& m : messages) {
            const std::size_t to = index_of(m.peer);
            double size = status_bytes;
            if (const intents::sync_changes* c = std::get_if<intents::sync_changes>(&m.message)) {
                for (const objectstore::object& o : c->objects) {
                    size += static_cast<double>(o.body.size() + o.key.name.size()) + 20;
                }
            }
            bytes_by_process_[from] += size + wire_overhead_bytes;
            bytes_by_process_[to] += size + wire_overhead_bytes;
            schedule(link_delay, {sync_event::kind::message, from, to,
                                  links_[link_between(from, to)], std::move(m)});
        }
    }
    void handle(const sync_event& event)
    {
        switch (event.type) {
        case sync_event::kind::change:
            accept_change();
            break;
        case sync_event::kind::watch: {
            const objectstore::object& o = store_[event.to];
            send(event.from, processes_[event.from]->on_watch_event({o, o.version}, now_));
            record_in_force();
            break;
        }
        case sync_event::kind::status:
            send(event.from, processes_[event.from]->statuses());
            schedule(intents::status_interval, event);
            break;
        case sync_event::kind::reconnect:
            connect(event.from, event.to);
            break;
        case sync_event::kind::message:
            deliver(event);
            break;
        }
    }
    void accept_change()
    {
        const core::revision version{store_.size() + 1};
        store_.push_back({{"Workspace", "w" + std::to_string(version.value % 20)},
                          version,
                          std::string(300, 'x'),
                          false});
        accepted_at_[version.value] = now_;
        for (const core::host_id& relay : relays_) {
            if (index_of(relay) != silent_relay_ || relays_.size() == 1) {
                schedule(watch_delay,
                         {sync_event::kind::watch, index_of(relay), store_.size() - 1, 0, {}});
            }
        }
    }
    void deliver(const sync_event& event)
    {
        const std::pair<std::size_t, std::size_t> used_link = link_between(event.from, event.to);
        if (links_[used_link] != event.link_incarnation) {
            return;
        }
        const bool lost = used_link == lossy_link_ && members_.size() > 1 &&
                          std::uniform_real_distribution<double>(0, 1)(random_) < loss_rate;
        if (lost) {
            // A lost message closes the connection. It is opened again after a delay.
            ++links_[used_link];
            processes_[event.from]->on_peer_down(members_[event.to].host);
            processes_[event.to]->on_peer_down(members_[event.from].host);
            schedule(reconnect_delay, {sync_event::kind::reconnect, event.from, event.to, 0, {}});
            return;
        }
        intents::disseminator& to = *processes_[event.to];
        const core::host_id& sender = members_[event.from].host;
        if (const intents::sync_status* s =
                std::get_if<intents::sync_status>(&event.message.message)) {
            send(event.to, to.on_status(sender, *s, now_));
        }
        else {
            send(event.to,
                 to.on_changes(sender, std::get<intents::sync_changes>(event.message.message),
                               now_));
        }
        record_in_force();
    }
    /// Records the time at which further revisions came into force in every process.
    void record_in_force()
    {
        core::revision min_complete{std::numeric_limits<std::uint64_t>::max()};
        for (const std::unique_ptr<intents::disseminator>& p : processes_) {
            min_complete = std::min(min_complete, p->complete());
        }
        for (std::uint64_t v = last_in_force_ + 1; v <= min_complete.value; ++v) {
            in_force_at_[v] = now_;
        }
        last_in_force_ = std::max(last_in_force_, min_complete.value);
    }

    const core::time_point start_{1h};
    core::time_point now_ = start_;
    std::mt19937_64 random_;
    std::vector<intents::sync_member> members_;
    std::vector<std::unique_ptr<intents::disseminator>> processes_;
    std::set<core::host_id> relays_;
    /// Incarnation of each link. Messages sent over an earlier incarnation are dropped.
    std::map<std::pair<std::size_t, std::size_t>, std::uint64_t> links_;
    std::pair<std::size_t, std::size_t> lossy_link_;
    std::size_t silent_relay_ = 0;
    std::multimap<core::time_point, sync_event> events_;
    std::vector<objectstore::object> store_;
    std::map<std::uint64_t, core::time_point> accepted_at_;
    std::map<std::uint64_t, core::time_point> in_force_at_;
    std::uint64_t last_in_force_ = 0;
    std::map<std::size_t, double> bytes_by_process_;
};

} // namespace

bench_report run_dissemination(std::uint64_t seed)
{
    bench_report report({"processes", "watches", "in_force_s_p50", "in_force_s_p99",
                         "in_force_s_max", "busiest_bytes_per_s"});
    for (const std::size_t count : {1U, 3U, 9U, 16U, 32U, 64U, 128U, 330U}) {
        std::cerr << "progress processes=" << count << "\n";
        sync_simulation simulation(count, seed);
        simulation.run();
        const std::vector<double> seconds = simulation.in_force_seconds();
        report.add({std::to_string(count), std::to_string(simulation.watches()),
                    format_number(percentile(seconds, 0.5)),
                    format_number(percentile(seconds, 0.99)), format_number(percentile(seconds, 1)),
                    format_number(simulation.max_bytes_per_second(), 0)});
    }
    return report;
}

} // namespace currantpitch::bench
