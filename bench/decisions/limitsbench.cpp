#include "decisions/limitsbench.h"

#include "backpressure/backpressureconstants.h"
#include "backpressure/endpointsignals.h"
#include "backpressure/permitbroker.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <memory>
#include <random>

namespace currantpitch::bench {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds tick_time = 5ms;
constexpr std::chrono::milliseconds message_delay = 5ms;
constexpr std::chrono::seconds run_time = 60s;
constexpr std::chrono::milliseconds window = 4s;
/// Interval at which entries report their demand to each other, where they do.
constexpr std::chrono::milliseconds demand_report_interval = 500ms;
/// Requests that arrive, in relation to the limit.
constexpr double relative_demand = 3;
const core::endpoint_id endpoint{"i-1"};
const core::time_point start_time{std::chrono::hours(1)};

enum class policy { own_view, equal_parts, parts_by_demand, permits };
constexpr std::array<std::string_view, 4> policy_names{"own view", "equal parts", "parts by demand",
                                                       "permits"};

double to_seconds(core::duration d)
{
    return std::chrono::duration<double>(d).count();
}

/// A token bucket of one request.
class bucket {
public:
    bool take(double per_second, core::time_point now)
    {
        tokens_ = std::min(1.0, tokens_ + per_second * to_seconds(now - updated_at_));
        updated_at_ = now;
        if (tokens_ < 1) {
            return false;
        }
        tokens_ = 0;
        return true;
    }

private:
    double tokens_ = 1;
    core::time_point updated_at_ = start_time;
};

class entry_fleet {
public:
    entry_fleet(policy p, std::size_t entries, double per_second, bool even, std::uint64_t seed)
        : policy_(p), per_second_(per_second), even_(even), random_(seed), buckets_(entries),
          demand_(entries, 0), reported_demand_(entries, 0)
    {
        std::set<core::host_id> hosts;
        for (std::size_t i = 0; i < entries; ++i) {
            hosts.insert(name(i));
        }
        for (std::size_t i = 0; p == policy::permits && i < entries; ++i) {
            add_entry(i, hosts);
        }
    }

    void run()
    {
        for (core::time_point now = start_time; now < start_time + run_time; now += tick_time) {
            now_ = now;
            deliver();
            report_demand();
            std::poisson_distribution<int> arrivals(relative_demand * per_second_ *
                                                    to_seconds(tick_time));
            for (int n = arrivals(random_); n > 0; --n) {
                const std::size_t entry = even_ ? random_() % buckets_.size() : 0;
                ++demand_[entry];
                if (admit(entry)) {
                    sent_.push_back(now);
                }
            }
        }
    }

    double used_part() const
    {
        return static_cast<double>(sent_.size()) / (per_second_ * to_seconds(run_time));
    }
    std::size_t most_in_window() const
    {
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < sent_.size(); ++last) {
            while (sent_[last] - sent_[first] > window) {
                ++first;
            }
            most = std::max(most, last - first + 1);
        }
        return most;
    }
    double messages_per_second() const
    {
        return static_cast<double>(message_count_) / to_seconds(run_time);
    }

private:
    struct entry {
        explicit entry(core::host_id self) : broker(std::move(self)) {}
        backpressure::permit_broker broker;
        backpressure::endpoint_signals signals;
    };
    struct message {
        std::size_t from = 0;
        std::size_t to = 0;
        std::optional<backpressure::permit_offer> offer;
    };

    static core::host_id name(std::size_t i) { return core::host_id("e-" + std::to_string(i)); }

    void add_entry(std::size_t i, const std::set<core::host_id>& hosts)
    {
        entries_.push_back(std::make_unique<entry>(name(i)));
        entry& e = *entries_.back();
        e.broker.set_registered(hosts, start_time);
        for (const core::host_id& host : hosts) {
            if (host != name(i)) {
                e.broker.on_peer_up(host, start_time - run_time);
            }
        }
        e.signals.on_answer({endpoint, core::incarnation{1}, per_second_, false, {}, start_time},
                            start_time);
        e.signals.ask_for_permit = [this, i](const backpressure::permit_request& request) {
            const backpressure::permit_source source = entries_[i]->broker.request(request, now_);
            if (source.owner) {
                send({i, std::stoul(source.owner->str().substr(2)), std::nullopt});
            }
            if (source.own_offer) {
                on_offer(i, *source.own_offer);
            }
        };
    }
    void send(message m)
    {
        ++message_count_;
        messages_.emplace(now_ + message_delay, std::move(m));
    }
    void deliver()
    {
        while (!messages_.empty() && messages_.begin()->first <= now_) {
            const message m = messages_.begin()->second;
            messages_.erase(messages_.begin());
            if (m.offer) {
                entries_[m.to]->broker.on_answer(name(m.from));
                on_offer(m.to, *m.offer);
            }
            else if (m.from == m.to) {
                use_permit(m.to);
            }
            else {
                backpressure::permit_request request;
                request.endpoint = endpoint;
                request.per_second = per_second_;
                request.max_wait = backpressure::permit_wait;
                send({m.to, m.from, entries_[m.to]->broker.grant(request, now_)});
            }
        }
    }
    void on_offer(std::size_t i, const backpressure::permit_offer& offer)
    {
        if (entries_[i]->signals.on_offer(offer, now_) && offer.granted) {
            messages_.emplace(now_ + offer.starts_in, message{i, i, std::nullopt});
        }
    }
    /// Sends the request that has waited for the permit.
    void use_permit(std::size_t i)
    {
        if (entries_[i]->signals.admits(endpoint, now_)) {
            entries_[i]->signals.take_permit(endpoint);
            sent_.push_back(now_);
        }
    }
    void report_demand()
    {
        if (policy_ != policy::parts_by_demand || now_ < next_report_) {
            return;
        }
        next_report_ = now_ + demand_report_interval;
        message_count_ += buckets_.size() * (buckets_.size() - 1);
        reported_demand_ = demand_;
        std::fill(demand_.begin(), demand_.end(), 0);
    }
    bool admit(std::size_t i)
    {
        double part = 1;
        switch (policy_) {
        case policy::own_view:
            break;
        case policy::equal_parts:
            part /= static_cast<double>(buckets_.size());
            break;
        case policy::parts_by_demand: {
            double total = 0;
            for (const double d : reported_demand_) {
                total += d;
            }
            part = total > 0 ? reported_demand_[i] / total : 0;
            break;
        }
        case policy::permits: {
            // The request is sent when its permit starts.
            entries_[i]->signals.request_permit(endpoint, backpressure::permit_wait, now_);
            return false;
        }
        }
        return buckets_[i].take(per_second_ * part, now_);
    }

    policy policy_;
    double per_second_;
    bool even_;
    std::mt19937_64 random_;
    core::time_point now_ = start_time;
    std::vector<bucket> buckets_;
    std::vector<double> demand_;
    std::vector<double> reported_demand_;
    core::time_point next_report_ = start_time;
    std::vector<std::unique_ptr<entry>> entries_;
    std::multimap<core::time_point, message> messages_;
    std::vector<core::time_point> sent_;
    std::size_t message_count_ = 0;
};

} // namespace

bench_report run_limits(std::uint64_t seed)
{
    bench_report report({"entries", "limit_per_s", "demand", "policy", "used_part", "most_in_4s",
                         "allowed_in_4s", "messages_per_s"});
    for (const std::size_t entries : {9U, 100U, 600U}) {
        for (const double per_second : {1.0, 10.0}) {
            for (const bool even : {true, false}) {
                for (const policy p : {policy::own_view, policy::equal_parts,
                                       policy::parts_by_demand, policy::permits}) {
                    entry_fleet fleet(p, entries, per_second, even, seed);
                    fleet.run();
                    const double allowed = std::floor(1.5 * per_second * to_seconds(window) + 5);
                    report.add({std::to_string(entries), format_number(per_second, 0),
                                even ? "even" : "one entry",
                                std::string(policy_names[static_cast<std::size_t>(p)]),
                                format_number(fleet.used_part(), 2),
                                std::to_string(fleet.most_in_window()), format_number(allowed, 0),
                                format_number(fleet.messages_per_second(), 0)});
                }
            }
        }
    }
    return report;
}

} // namespace currantpitch::bench
