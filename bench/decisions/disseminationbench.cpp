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

constexpr std::size_t domains = 3;
constexpr std::chrono::microseconds link_delay = 1500us;
constexpr std::chrono::milliseconds watch_delay = 5ms;
constexpr double loss = 0.33;
constexpr std::chrono::milliseconds reconnect_delay = 100ms;
constexpr std::chrono::milliseconds change_interval = 700ms;
constexpr int changes = 60;
constexpr std::size_t wire_overhead_bytes = 12;
constexpr std::size_t status_bytes = 30;

/// One thing that happens at a time.
struct sync_event {
    enum class kind { message, status, change, watch, reconnect } what = kind::status;
    std::size_t from = 0;
    std::size_t to = 0;
    std::uint64_t link_life = 0;
    sync_outgoing message;
};

/// Processes, links and a store, driven by a queue of events in computed time.
class sync_fleet {
public:
    sync_fleet(std::size_t count, std::uint64_t seed) : random_(seed)
    {
        for (std::size_t i = 0; i < count; ++i) {
            members_.push_back({core::host_id("h" + std::to_string(i)),
                                core::failure_domain_id("fd" + std::to_string(i % domains))});
            processes_.push_back(std::make_unique<intents::disseminator>());
        }
        relays_ = intents::relays_of(members_);
        for (std::size_t i = 0; i < count; ++i) {
            processes_[i]->on_listing({core::revision{}, {}}, now_);
            for (const core::host_id& peer : intents::peers_to_dial(members_[i], members_)) {
                connect(i, index_of(peer));
            }
            post(std::chrono::milliseconds(random_() % 500),
                 {sync_event::kind::status, i, 0, 0, {}});
        }
        lossy_ = links_.empty() ? std::pair<std::size_t, std::size_t>() : links_.begin()->first;
        silent_relay_ = relays_.empty() ? 0 : index_of(*relays_.begin());
    }

    void run()
    {
        for (int i = 0; i < changes; ++i) {
            post(change_interval * (i + 1), {sync_event::kind::change, 0, 0, 0, {}});
        }
        const core::time_point end = now_ + change_interval * (changes + 10);
        while (!events_.empty() && events_.begin()->first <= end) {
            now_ = events_.begin()->first;
            const sync_event event = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            handle(event);
        }
    }

    /// Seconds until a change was in force everywhere; one value for each change.
    std::vector<double> in_force_seconds() const
    {
        std::vector<double> seconds;
        for (const std::pair<const std::uint64_t, core::time_point>& accepted : accepted_) {
            const auto done = everywhere_.find(accepted.first);
            seconds.push_back(
                done == everywhere_.end()
                    ? 1e9
                    : std::chrono::duration<double>(done->second - accepted.second).count());
        }
        return seconds;
    }
    std::size_t watches() const { return relays_.size(); }
    double busiest_bytes_per_second() const
    {
        double most = 0;
        for (const std::pair<const std::size_t, double>& b : bytes_) {
            most = std::max(most, b.second);
        }
        return most / std::chrono::duration<double>(now_ - start_).count();
    }

private:
    std::size_t index_of(const core::host_id& host) const
    {
        return static_cast<std::size_t>(std::stoul(host.str().substr(1)));
    }
    void post(core::duration after, sync_event event)
    {
        events_.emplace(now_ + after, std::move(event));
    }
    static std::pair<std::size_t, std::size_t> link(std::size_t a, std::size_t b)
    {
        return {std::min(a, b), std::max(a, b)};
    }
    void connect(std::size_t a, std::size_t b)
    {
        ++links_[link(a, b)];
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
            bytes_[from] += size + wire_overhead_bytes;
            bytes_[to] += size + wire_overhead_bytes;
            post(link_delay,
                 {sync_event::kind::message, from, to, links_[link(from, to)], std::move(m)});
        }
    }
    void handle(const sync_event& event)
    {
        switch (event.what) {
        case sync_event::kind::change:
            accept_change();
            break;
        case sync_event::kind::watch: {
            const objectstore::object& o = store_[event.to];
            send(event.from, processes_[event.from]->on_watch_event({o, o.version}, now_));
            check();
            break;
        }
        case sync_event::kind::status:
            send(event.from, processes_[event.from]->statuses());
            post(intents::status_interval, event);
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
        accepted_[version.value] = now_;
        for (const core::host_id& relay : relays_) {
            if (index_of(relay) != silent_relay_ || relays_.size() == 1) {
                post(watch_delay,
                     {sync_event::kind::watch, index_of(relay), store_.size() - 1, 0, {}});
            }
        }
    }
    void deliver(const sync_event& event)
    {
        const std::pair<std::size_t, std::size_t> over = link(event.from, event.to);
        if (links_[over] != event.link_life) {
            return;
        }
        const bool lost = over == lossy_ && members_.size() > 1 &&
                          std::uniform_real_distribution<double>(0, 1)(random_) < loss;
        if (lost) {
            // A connection that loses a message is dead and replaced.
            ++links_[over];
            processes_[event.from]->on_peer_down(members_[event.to].host);
            processes_[event.to]->on_peer_down(members_[event.from].host);
            post(reconnect_delay, {sync_event::kind::reconnect, event.from, event.to, 0, {}});
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
        check();
    }
    void check()
    {
        core::revision lowest{std::numeric_limits<std::uint64_t>::max()};
        for (const std::unique_ptr<intents::disseminator>& p : processes_) {
            lowest = std::min(lowest, p->complete());
        }
        for (std::uint64_t v = last_everywhere_ + 1; v <= lowest.value; ++v) {
            everywhere_[v] = now_;
        }
        last_everywhere_ = std::max(last_everywhere_, lowest.value);
    }

    const core::time_point start_{1h};
    core::time_point now_ = start_;
    std::mt19937_64 random_;
    std::vector<intents::sync_member> members_;
    std::vector<std::unique_ptr<intents::disseminator>> processes_;
    std::set<core::host_id> relays_;
    /// Life of each link; messages of an earlier life are lost.
    std::map<std::pair<std::size_t, std::size_t>, std::uint64_t> links_;
    std::pair<std::size_t, std::size_t> lossy_;
    std::size_t silent_relay_ = 0;
    std::multimap<core::time_point, sync_event> events_;
    std::vector<objectstore::object> store_;
    std::map<std::uint64_t, core::time_point> accepted_;
    std::map<std::uint64_t, core::time_point> everywhere_;
    std::uint64_t last_everywhere_ = 0;
    std::map<std::size_t, double> bytes_;
};

} // namespace

bench_report run_dissemination(std::uint64_t seed)
{
    bench_report report({"processes", "watches", "in_force_s_p50", "in_force_s_p99",
                         "in_force_s_max", "busiest_bytes_per_s"});
    for (const std::size_t count : {1U, 3U, 9U, 16U, 32U, 64U, 128U, 330U}) {
        std::cerr << "progress processes=" << count << "\n";
        sync_fleet fleet(count, seed);
        fleet.run();
        const std::vector<double> seconds = fleet.in_force_seconds();
        report.add({std::to_string(count), std::to_string(fleet.watches()),
                    figure(percentile(seconds, 0.5)), figure(percentile(seconds, 0.99)),
                    figure(percentile(seconds, 1)), figure(fleet.busiest_bytes_per_second(), 0)});
    }
    return report;
}

} // namespace currantpitch::bench
