#include "support/rapidcheck.h"

#include "backpressure/endpointsignals.h"
#include "backpressure/permitbroker.h"

#include "CppUTest/TestHarness.h"

#include <cmath>
#include <deque>
#include <memory>
#include <random>
#include <vector>

using namespace currantpitch;
using namespace std::chrono_literals;

namespace {

const core::endpoint_id endpoint{"i-1"};
constexpr std::chrono::milliseconds tick{10};
constexpr std::chrono::milliseconds max_message_delay{20};
/// Time after which entries notice that they are cut off from each other.
constexpr std::chrono::milliseconds detection_time{2000};
/// Time after a disturbance of an entry for which its requests do not count.
constexpr std::chrono::milliseconds settling_time{3000};
constexpr std::chrono::milliseconds window{4000};
/// Time for which the requests wait for a permit.
constexpr std::chrono::milliseconds request_wait{100};

// Entries that send as many requests to one limited endpoint as they get permits for.
class entries_model {
public:
    entries_model(std::size_t entries, double per_second, std::uint64_t seed)
        : per_second_(per_second), random_(seed)
    {
        std::set<core::host_id> hosts;
        for (std::size_t i = 0; i < entries; ++i) {
            hosts.insert(name(i));
        }
        for (std::size_t i = 0; i < entries; ++i) {
            entries_.push_back(std::make_unique<entry>(name(i)));
            entry& e = *entries_.back();
            e.broker.set_registered(hosts, now_);
            e.signals.on_answer({endpoint, core::incarnation{1}, per_second, false, {}, now_},
                                now_);
            e.signals.ask_for_permit = [this, i](const backpressure::permit_request& request) {
                ask(i, request);
            };
            for (std::size_t k = 0; k < entries; ++k) {
                if (k != i) {
                    e.broker.on_peer_up(name(k), now_);
                }
            }
        }
    }

    void run_for(std::chrono::milliseconds time)
    {
        for (const core::time_point end = now_ + time; now_ < end; now_ += tick) {
            deliver();
            for (const std::unique_ptr<entry>& e : entries_) {
                if (!e->signals.admits(endpoint, now_)) {
                    e->signals.request_permit(endpoint, request_wait, now_);
                }
                if (e->signals.admits(endpoint, now_)) {
                    e->signals.take_permit(endpoint);
                    e->sent_at.push_back(now_);
                }
            }
            detect_cuts();
        }
    }
    /// Cuts an entry off from all others, or ends the cut.
    void set_cut(std::size_t i, bool cut)
    {
        entry& e = *entries_[i];
        e.cut = cut;
        e.changed_at = now_;
        e.detected = false;
    }

    std::size_t size() const { return entries_.size(); }
    std::size_t sent() const
    {
        std::size_t count = 0;
        for (const std::unique_ptr<entry>& e : entries_) {
            count += e->sent_at.size();
        }
        return count;
    }
    /// Highest number of requests in a window, without those of disturbed entries.
    std::size_t most_in_window() const
    {
        std::vector<core::time_point> all;
        for (const std::unique_ptr<entry>& e : entries_) {
            for (const core::time_point t : e->sent_at) {
                if (e->disturbances.empty() || !disturbed(*e, t)) {
                    all.push_back(t);
                }
            }
        }
        std::sort(all.begin(), all.end());
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < all.size(); ++last) {
            while (all[last] - all[first] > window) {
                ++first;
            }
            most = std::max(most, last - first + 1);
        }
        return most;
    }

private:
    struct entry {
        explicit entry(core::host_id self) : broker(std::move(self)) {}
        backpressure::permit_broker broker;
        backpressure::endpoint_signals signals;
        bool cut = false;
        bool detected = true;
        core::time_point changed_at;
        std::vector<std::pair<core::time_point, core::time_point>> disturbances;
        std::vector<core::time_point> sent_at;
    };
    struct message {
        std::size_t from = 0;
        std::size_t to = 0;
        std::optional<backpressure::permit_request> asked;
        backpressure::permit_offer offer;
        core::time_point due;
    };

    static core::host_id name(std::size_t i) { return core::host_id("entry-" + std::to_string(i)); }
    static std::size_t index_of(const core::host_id& host)
    {
        return std::stoul(host.str().substr(6));
    }
    static bool disturbed(const entry& e, core::time_point t)
    {
        return std::any_of(e.disturbances.begin(), e.disturbances.end(),
                           [t](const std::pair<core::time_point, core::time_point>& d) {
                               return t >= d.first && t <= d.second;
                           });
    }

    void ask(std::size_t i, const backpressure::permit_request& request)
    {
        const backpressure::permit_source source = entries_[i]->broker.request(request, now_);
        if (source.owner) {
            send({i, index_of(*source.owner), request, {}, {}});
        }
        if (source.own_offer) {
            entries_[i]->signals.on_offer(*source.own_offer, now_);
        }
    }
    void send(message m)
    {
        std::uniform_int_distribution<std::int64_t> delay(0, max_message_delay.count());
        m.due = now_ + std::chrono::milliseconds(delay(random_));
        messages_.push_back(m);
    }
    void deliver()
    {
        std::deque<message> due;
        std::erase_if(messages_, [&](const message& m) {
            if (m.due > now_) {
                return false;
            }
            due.push_back(m);
            return true;
        });
        for (const message& m : due) {
            if (entries_[m.from]->cut || entries_[m.to]->cut) {
                continue;
            }
            if (m.asked) {
                const backpressure::permit_offer offer =
                    entries_[m.to]->broker.grant(*m.asked, now_);
                send({m.to, m.from, std::nullopt, offer, {}});
            }
            else {
                entries_[m.to]->broker.on_answer(name(m.from));
                entries_[m.to]->signals.on_offer(m.offer, now_);
            }
        }
    }
    void detect_cuts()
    {
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            entry& e = *entries_[i];
            if (e.detected || now_ - e.changed_at < (e.cut ? detection_time : 2 * tick)) {
                continue;
            }
            e.detected = true;
            for (std::size_t k = 0; k < entries_.size(); ++k) {
                if (k == i) {
                    continue;
                }
                if (e.cut) {
                    e.broker.on_peer_down(name(k), now_);
                    entries_[k]->broker.on_peer_down(name(i), now_);
                }
                else if (!entries_[k]->cut) {
                    e.broker.on_peer_up(name(k), now_);
                    entries_[k]->broker.on_peer_up(name(i), now_);
                }
            }
            if (!e.cut) {
                e.disturbances.push_back({cut_began(i), now_ + settling_time});
            }
            else {
                cut_at_[i] = e.changed_at;
            }
        }
    }
    core::time_point cut_began(std::size_t i) const
    {
        const auto found = cut_at_.find(i);
        return found == cut_at_.end() ? core::time_point{} : found->second;
    }

    double per_second_;
    std::mt19937_64 random_;
    core::time_point now_{1h};
    std::vector<std::unique_ptr<entry>> entries_;
    std::deque<message> messages_;
    std::map<std::size_t, core::time_point> cut_at_;
};

double allowed(double per_second)
{
    return 1.5 * per_second * 4 + 5;
}

} // namespace

TEST_GROUP(shared_limits){};

TEST(shared_limits, entries_use_the_limit_together_and_do_not_exceed_it)
{
    for (const double per_second : {0.5, 1.0, 1.8, 10.0, 40.0}) {
        for (const std::size_t entries : {1U, 3U, 9U}) {
            entries_model model(entries, per_second, 7);
            model.run_for(20s);
            CHECK(static_cast<double>(model.most_in_window()) <= allowed(per_second));
            CHECK(static_cast<double>(model.sent()) >= 0.75 * per_second * 20);
        }
    }
}

// Nine entries, each with its own view of an endpoint's limit, sent it several times as many
// requests.
TEST(shared_limits, entries_that_are_cut_off_do_not_exceed_the_limit)
{
    CHECK_PROPERTY("limits hold while entries are cut off", [](std::uint64_t seed) {
        std::mt19937_64 random(seed);
        const std::size_t entries = 2 + random() % 8;
        const double per_second = 0.5 * std::pow(2.0, static_cast<double>(random() % 5));
        entries_model model(entries, per_second, seed);
        model.run_for(5s);
        for (int i = 0; i < 6; ++i) {
            const std::size_t first = random() % entries;
            const std::size_t second = random() % entries;
            model.set_cut(first, true);
            model.set_cut(second, true);
            model.run_for(std::chrono::milliseconds(2200 + random() % 3000));
            model.set_cut(first, false);
            model.set_cut(second, false);
            model.run_for(std::chrono::milliseconds(100 + random() % 3000));
        }
        RC_ASSERT(static_cast<double>(model.most_in_window()) <= allowed(per_second));
    });
}
