#include "support/rapidcheck.h"

#include "backpressure/backpressureconstants.h"
#include "backpressure/endpointsignals.h"
#include "backpressure/permitbroker.h"

#include "CppUTest/TestHarness.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <vector>

using namespace currantpitch;
using namespace std::chrono_literals;

namespace {

const core::endpoint_id endpoint{"i-1"};
constexpr std::size_t gateway_count = 34;
constexpr double rate = 17;
constexpr backpressure::cold_bounds bounds{1.5, 5};
constexpr std::size_t allowed = 30; // 17 x 1.5 + 5 = 30.5
constexpr std::chrono::milliseconds tick{5};
constexpr std::chrono::milliseconds max_message_delay{40};

// Gateways that send a cold endpoint as many requests as they get permits for.
class cold_fleet {
public:
    cold_fleet(std::size_t gateways, std::uint64_t seed) : random_(seed)
    {
        for (std::size_t i = 0; i < gateways; ++i) {
            gateways_.push_back(std::make_unique<gateway>(name(i)));
            gateway& g = *gateways_.back();
            g.broker.set_cold_bounds(bounds);
            g.signals.ask_for_permit = [this, i](const backpressure::permit_request& request) {
                ask(i, request);
            };
            g.signals.own_permit_at = [&g](const core::endpoint_id& e, double per_second,
                                           core::time_point now) {
                return g.broker.own_permit_at(e, per_second, now);
            };
            g.signals.on_cold(endpoint, core::incarnation{1}, rate, 10min, now_);
        }
        group_.resize(gateways, 0);
        connected_.resize(gateways, std::vector<bool>(gateways, false));
    }

    /// Lets every gateway list the first ones as registered.
    void list_first(std::size_t registered)
    {
        std::set<core::host_id> hosts;
        for (std::size_t i = 0; i < registered; ++i) {
            hosts.insert(name(i));
        }
        for (const std::unique_ptr<gateway>& g : gateways_) {
            g->broker.set_registered(hosts, now_);
        }
    }
    void connect(std::size_t i, std::size_t k)
    {
        if (i != k && !connected_[i][k]) {
            connected_[i][k] = connected_[k][i] = true;
            gateways_[i]->broker.on_peer_up(name(k), now_);
            gateways_[k]->broker.on_peer_up(name(i), now_);
        }
    }
    void disconnect(std::size_t i, std::size_t k)
    {
        if (connected_[i][k]) {
            connected_[i][k] = connected_[k][i] = false;
            gateways_[i]->broker.on_peer_down(name(k), now_);
            gateways_[k]->broker.on_peer_down(name(i), now_);
        }
    }
    void connect_all()
    {
        for (std::size_t i = 0; i < gateways_.size(); ++i) {
            for (std::size_t k = 0; k < i; ++k) {
                connect(i, k);
            }
        }
    }
    /// Connects the pairs of the same group in random order.
    void connect_slowly(std::chrono::milliseconds time)
    {
        std::vector<std::pair<std::size_t, std::size_t>> pairs;
        for (std::size_t i = 0; i < gateways_.size(); ++i) {
            for (std::size_t k = 0; k < i; ++k) {
                if (!connected_[i][k] && group_[i] == group_[k]) {
                    pairs.emplace_back(i, k);
                }
            }
        }
        std::shuffle(pairs.begin(), pairs.end(), random_);
        const std::int64_t steps = std::max<std::int64_t>(time / tick, 1);
        for (std::int64_t step = 0; step < steps; ++step) {
            const std::size_t end =
                pairs.size() * static_cast<std::size_t>(step + 1) / static_cast<std::size_t>(steps);
            for (std::size_t p = pairs.size() * static_cast<std::size_t>(step) /
                                 static_cast<std::size_t>(steps);
                 p < end; ++p) {
                connect(pairs[p].first, pairs[p].second);
            }
            run_for(tick);
        }
    }
    /// Cuts the gateways into random groups. They notice it in random order within two seconds.
    void partition(std::size_t groups)
    {
        std::vector<std::pair<std::size_t, std::size_t>> cut;
        for (std::size_t& g : group_) {
            g = random_() % groups;
        }
        for (std::size_t i = 0; i < gateways_.size(); ++i) {
            for (std::size_t k = 0; k < i; ++k) {
                if (group_[i] != group_[k]) {
                    cut.emplace_back(i, k);
                }
            }
        }
        std::shuffle(cut.begin(), cut.end(), random_);
        run_for(1500ms);
        for (std::size_t p = 0; p < cut.size(); ++p) {
            disconnect(cut[p].first, cut[p].second);
            if (p % 10 == 0) {
                run_for(tick);
            }
        }
    }
    void heal(std::chrono::milliseconds time)
    {
        std::fill(group_.begin(), group_.end(), 0);
        connect_slowly(time);
    }
    void freeze(std::size_t i, std::chrono::milliseconds time)
    {
        gateways_[i]->frozen_until = now_ + time;
    }
    void disconnect_all(std::size_t i)
    {
        for (std::size_t k = 0; k < gateways_.size(); ++k) {
            disconnect(i, k);
        }
    }
    /// An owner of the permits, other than the one given.
    std::size_t owner(std::optional<std::size_t> other_than = std::nullopt) const
    {
        for (std::size_t i = 0; i < gateways_.size(); ++i) {
            if (i != other_than && gateways_[i]->broker.owns(endpoint)) {
                return i;
            }
        }
        return 0;
    }

    void run_for(std::chrono::milliseconds time)
    {
        for (const core::time_point end = now_ + time; now_ < end; now_ += tick) {
            deliver();
            for (const std::unique_ptr<gateway>& g : gateways_) {
                if (now_ < g->frozen_until) {
                    continue;
                }
                if (now_ - g->ran_at >= 100ms) {
                    g->ran_at = now_;
                    g->broker.on_running(now_);
                }
                if (!g->signals.admits(endpoint, now_)) {
                    g->signals.request_permit(endpoint, backpressure::permit_wait, now_);
                }
                if (g->signals.admits(endpoint, now_)) {
                    g->signals.take_permit(endpoint);
                    sent_.push_back(now_);
                }
            }
        }
    }
    std::size_t sent() const { return sent_.size(); }
    std::size_t most_in_a_second() const
    {
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < sent_.size(); ++last) {
            while (sent_[last] - sent_[first] >= 1s) {
                ++first;
            }
            most = std::max(most, last - first + 1);
        }
        return most;
    }

private:
    struct gateway {
        explicit gateway(core::host_id self) : broker(std::move(self)) {}
        backpressure::permit_broker broker;
        backpressure::endpoint_signals signals;
        core::time_point frozen_until;
        core::time_point ran_at;
    };
    struct message {
        std::size_t from = 0;
        std::size_t to = 0;
        std::optional<backpressure::permit_request> request;
        backpressure::permit_offer offer;
        core::time_point due;
    };

    static core::host_id name(std::size_t i) { return core::host_id("g-" + std::to_string(i)); }

    void ask(std::size_t i, const backpressure::permit_request& request)
    {
        const backpressure::permit_source source = gateways_[i]->broker.request(request, now_);
        if (source.owner) {
            send({i, std::stoul(source.owner->str().substr(2)), request, {}, {}});
        }
        if (source.own_offer) {
            gateways_[i]->signals.on_offer(*source.own_offer, now_);
        }
    }
    void send(message m)
    {
        m.due = now_ + tick * static_cast<int>(1 + random_() % (max_message_delay / tick));
        messages_.push_back(m);
    }
    void deliver()
    {
        std::deque<message> due;
        std::erase_if(messages_, [&](const message& m) {
            // What a frozen gateway has not read is still there when it wakes.
            if (m.due > now_ || now_ < gateways_[m.to]->frozen_until) {
                return false;
            }
            due.push_back(m);
            return true;
        });
        for (const message& m : due) {
            if (group_[m.from] != group_[m.to]) {
                continue;
            }
            if (m.request) {
                send({m.to,
                      m.from,
                      std::nullopt,
                      gateways_[m.to]->broker.grant(*m.request, now_),
                      {}});
            }
            else {
                gateways_[m.to]->signals.on_offer(m.offer, now_);
            }
        }
    }

    std::mt19937_64 random_;
    core::time_point now_{1h};
    std::vector<std::unique_ptr<gateway>> gateways_;
    std::vector<std::size_t> group_;
    std::vector<std::vector<bool>> connected_;
    std::deque<message> messages_;
    std::vector<core::time_point> sent_;
};

} // namespace

TEST_GROUP(cold_fleets)
{
    cold_fleet fleet{gateway_count, 1};
};

TEST(cold_fleets, connected_gateways_use_the_rate_together)
{
    fleet.list_first(gateway_count);
    fleet.connect_all();
    fleet.run_for(10s);
    CHECK(fleet.most_in_a_second() <= allowed);
    CHECK(static_cast<double>(fleet.sent()) >= 0.75 * rate * 10);
}

// Gateways that had started without connections each issued permits as if they were alone, and a
// cold endpoint got 32 requests within a second.
TEST(cold_fleets, gateways_that_start_together_exceed_the_bound)
{
    for (const std::chrono::milliseconds connecting : {0ms, 200ms, 2000ms, 8000ms}) {
        cold_fleet starting(gateway_count, 3);
        starting.run_for(200ms);
        LONGS_EQUAL(0, starting.sent());
        starting.list_first(gateway_count);
        starting.run_for(10ms);
        // Those with a part of their own need no connection.
        LONGS_EQUAL(6, starting.sent());
        starting.connect_slowly(connecting);
        starting.run_for(3s);
        CHECK(starting.most_in_a_second() <= allowed);
        CHECK(static_cast<double>(starting.sent()) >= 0.5 * rate * 3);
    }
}

// A new gateway knows only the entries that have registered before it.
TEST(cold_fleets, gateways_that_register_one_after_another_exceed_the_bound)
{
    fleet.list_first(0);
    for (std::size_t i = 1; i <= gateway_count; ++i) {
        fleet.list_first(i);
        fleet.run_for(300ms);
    }
    fleet.run_for(3s);
    CHECK(fleet.sent() > 0);
    CHECK(fleet.most_in_a_second() <= allowed);
    fleet.connect_slowly(1s);
    fleet.run_for(3s);
    CHECK(fleet.most_in_a_second() <= allowed);
}

TEST(cold_fleets, silent_owner_stops_all_requests_or_adds_to_them_when_it_wakes)
{
    fleet.list_first(gateway_count);
    fleet.connect_all();
    fleet.run_for(3s);
    const std::size_t before = fleet.sent();
    fleet.freeze(fleet.owner(), 5s);
    fleet.run_for(4900ms);
    CHECK(fleet.sent() - before >= 15);
    fleet.run_for(3s);
    CHECK(fleet.most_in_a_second() <= allowed);
}

TEST(cold_fleets, gateway_that_joins_exceeds_the_bound)
{
    cold_fleet joined(gateway_count + 3, 5);
    joined.list_first(gateway_count);
    for (std::size_t i = 0; i < gateway_count; ++i) {
        for (std::size_t k = 0; k < i; ++k) {
            joined.connect(i, k);
        }
    }
    joined.run_for(3s);
    joined.connect_slowly(2s);
    joined.run_for(1s);
    joined.list_first(gateway_count + 3);
    joined.run_for(3s);
    CHECK(joined.most_in_a_second() <= allowed);
}

// Two gateways that do not reach each other but all others both issue permits.
TEST(cold_fleets, owners_that_do_not_reach_each_other_exceed_the_bound)
{
    fleet.list_first(gateway_count);
    fleet.connect_all();
    fleet.run_for(2s);
    const std::size_t owner = fleet.owner();
    fleet.disconnect_all(owner);
    fleet.run_for(200ms);
    const std::size_t second = fleet.owner(owner);
    for (std::size_t k = 0; k < gateway_count; ++k) {
        if (k != second) {
            fleet.connect(owner, k);
        }
    }
    CHECK(fleet.owner(second) == owner);
    fleet.run_for(3s);
    CHECK(fleet.most_in_a_second() <= allowed);
}

TEST(cold_fleets, random_cuts_and_freezes_exceed_the_bound)
{
    CHECK_PROPERTY("the bound holds", [](std::uint64_t seed) {
        std::mt19937_64 random(seed);
        cold_fleet tested(gateway_count, seed);
        tested.list_first(gateway_count);
        tested.connect_slowly(std::chrono::milliseconds(random() % 3000));
        for (int i = 0; i < 3; ++i) {
            tested.partition(1 + random() % 4);
            tested.freeze(random() % gateway_count, std::chrono::milliseconds(random() % 4000));
            tested.freeze(tested.owner(), std::chrono::milliseconds(random() % 2000));
            tested.run_for(std::chrono::milliseconds(random() % 3000));
            tested.heal(std::chrono::milliseconds(random() % 2000));
            tested.run_for(std::chrono::milliseconds(random() % 2000));
        }
        RC_ASSERT(tested.most_in_a_second() <= allowed);
    });
}

// A process that had been frozen went on issuing the permits that another one had taken over.
TEST(cold_fleets, interrupted_owner_issues_permits_at_once)
{
    backpressure::permit_broker broker(core::host_id("g-0"));
    broker.set_cold_bounds({1.5, 0});
    core::time_point now{1h};
    broker.set_registered({core::host_id("g-0")}, now);
    backpressure::permit_request request;
    request.endpoint = endpoint;
    request.per_second = 3;
    request.cold_for = 60s;
    const auto granted = [&] {
        return broker.request(request, now).own_offer.value().granted;
    };
    broker.on_running(now);
    CHECK(granted());
    now += 600ms;
    broker.on_running(now);
    now += 300ms;
    CHECK(granted());
    now += 5s;
    CHECK(!granted());
    for (core::duration passed{}; passed < backpressure::interruption_recovery; passed += 100ms) {
        broker.on_running(now);
        CHECK(!granted());
        now += 100ms;
    }
    CHECK(granted());
}
