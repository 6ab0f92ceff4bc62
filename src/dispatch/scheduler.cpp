#include "dispatch/scheduler.h"

#include "dispatch/dispatchconstants.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace currantpitch::dispatch {

namespace {

/// Part of a request that an endpoint in another failure domain counts as more loaded: enough to
/// decide between equals, too little to unbalance them.
constexpr double other_domain_penalty = 0.3;
/// Shortest and longest time that a refused caller is told to stay away.
constexpr std::chrono::milliseconds shortest_retry_after{200};
constexpr std::chrono::milliseconds longest_retry_after{2000};

double to_ms(core::duration d)
{
    return std::chrono::duration<double, std::milli>(d).count();
}

} // namespace

std::string_view to_string(work_end e)
{
    switch (e) {
    case work_end::done:
        return "done";
    case work_end::failed:
        return "failed";
    case work_end::refused:
        return "refused";
    case work_end::broken:
        return "broken";
    case work_end::abandoned:
        break;
    }
    return "abandoned";
}

bool scheduler::by_urgency::operator()(const waiting_request& a, const waiting_request& b) const
{
    return std::tie(a.request.priority, a.request.arrived, a.number) <
           std::tie(b.request.priority, b.request.arrived, b.number);
}

void scheduler::set_endpoints(const std::vector<available_endpoint>& endpoints)
{
    for (std::pair<const core::endpoint_id, endpoint_state>& entry : endpoints_) {
        entry.second.available = false;
    }
    for (const available_endpoint& e : endpoints) {
        endpoint_state& s = endpoints_[e.endpoint];
        s.known = e;
        s.available = true;
    }
    std::erase_if(endpoints_, [](const std::pair<const core::endpoint_id, endpoint_state>& entry) {
        return !entry.second.available && entry.second.own == 0;
    });
}

void scheduler::on_peer_load(const core::host_id& peer,
                             const std::map<core::endpoint_id, unsigned>& load,
                             core::time_point now)
{
    forget_peer(peer);
    peer_state& state = peers_[peer];
    state = peer_state{load, now};
    count_peer(state, true);
    oldest_report_ = std::min(oldest_report_, now);
}

void scheduler::forget_peer(const core::host_id& peer)
{
    const auto found = peers_.find(peer);
    if (found != peers_.end()) {
        count_peer(found->second, false);
        peers_.erase(found);
    }
}

void scheduler::count_peer(const peer_state& peer, bool added)
{
    for (const std::pair<const core::endpoint_id, unsigned>& one : peer.load) {
        unsigned& total = peer_totals_[one.first];
        total = added ? total + one.second : total - one.second;
        if (total == 0) {
            peer_totals_.erase(one.first);
        }
    }
}

void scheduler::forget_silent_peers(core::time_point now)
{
    if (peers_.empty() || now - oldest_report_ <= load_report_lifetime) {
        return;
    }
    oldest_report_ = now;
    for (auto it = peers_.begin(); it != peers_.end();) {
        if (now - it->second.at > load_report_lifetime) {
            count_peer(it->second, false);
            it = peers_.erase(it);
            continue;
        }
        oldest_report_ = std::min(oldest_report_, it->second.at);
        ++it;
    }
}

unsigned scheduler::peers_load(const core::endpoint_id& endpoint) const
{
    const auto found = peer_totals_.find(endpoint);
    return found == peer_totals_.end() ? 0 : found->second;
}

unsigned scheduler::load_of(const core::endpoint_id& endpoint, core::time_point now)
{
    forget_silent_peers(now);
    const auto found = endpoints_.find(endpoint);
    return peers_load(endpoint) + (found == endpoints_.end() ? 0 : found->second.own);
}

double scheduler::mean_latency() const
{
    double sum = 0;
    std::size_t count = 0;
    for (const std::pair<const core::endpoint_id, endpoint_state>& entry : endpoints_) {
        if (entry.second.latency_ms > 0) {
            sum += entry.second.latency_ms;
            ++count;
        }
    }
    return count == 0 ? 1.0 : sum / static_cast<double>(count);
}

double scheduler::score(const endpoint_state& s, unsigned load, core::time_point now) const
{
    double score = static_cast<double>(load) + 1;
    if (s.known.failure_domain != own_domain_) {
        score += other_domain_penalty;
    }
    if (weigh_by_latency_ && s.latency_ms > 0) {
        const double half_lives = to_ms(now - s.latency_at) / to_ms(latency_half_life);
        const double known = std::exp2(-half_lives);
        const double relative = s.latency_ms / mean_latency();
        score *= 1 + known * (relative - 1);
    }
    return score;
}

bool scheduler::too_many_passed_over(core::time_point now) const
{
    std::size_t available = 0;
    std::size_t passed_over = 0;
    for (const std::pair<const core::endpoint_id, endpoint_state>& entry : endpoints_) {
        available += entry.second.available ? 1 : 0;
        passed_over += entry.second.available && entry.second.passed_over_until > now ? 1 : 0;
    }
    return static_cast<double>(passed_over) > most_passed_over * static_cast<double>(available);
}

std::vector<scheduler::candidate> scheduler::candidates(const dispatch_request& request,
                                                        core::time_point now)
{
    const bool ignore_failures = too_many_passed_over(now);
    std::vector<candidate> found;
    for (const std::pair<const core::endpoint_id, endpoint_state>& entry : endpoints_) {
        const endpoint_state& s = entry.second;
        const bool eligible = s.available && !request.excluded.contains(entry.first) &&
                              (ignore_failures || s.passed_over_until <= now);
        if (!eligible) {
            continue;
        }
        const unsigned load = s.own + peers_load(entry.first);
        if (load < s.known.concurrency || load == 0) {
            found.push_back({&s, load});
        }
    }
    return found;
}

bool scheduler::own_part_taken(core::time_point now)
{
    forget_silent_peers(now);
    double slots = 0;
    double used = 0;
    double own = 0;
    for (const std::pair<const core::endpoint_id, endpoint_state>& entry : endpoints_) {
        const endpoint_state& s = entry.second;
        slots += s.available ? std::min(limit_, static_cast<double>(s.known.concurrency)) : 0;
        used += s.own + peers_load(entry.first);
        own += s.own;
    }
    const double part = std::max(slots / static_cast<double>(sharers_), 1.0);
    return used >= busy_share * slots && own + 1 > part;
}

const scheduler::endpoint_state* scheduler::choose(const dispatch_request& request,
                                                   core::time_point now)
{
    if (own_part_taken(now)) {
        return nullptr;
    }
    std::vector<candidate> all = candidates(request, now);
    // Some of the own failure domain first, then some of all.
    const auto others = std::partition(all.begin(), all.end(), [this](const candidate& c) {
        return c.endpoint->known.failure_domain == own_domain_;
    });
    std::shuffle(all.begin(), others, random_);
    const std::size_t near =
        std::min(drawn_endpoints, static_cast<std::size_t>(others - all.begin()));
    std::shuffle(all.begin() + static_cast<long>(near), all.end(), random_);
    all.resize(std::min(all.size(), near + drawn_endpoints));

    const endpoint_state* best = nullptr;
    double best_score = 0;
    std::uniform_real_distribution<double> tie_break(0, 0.2);
    for (const candidate& c : all) {
        const double its_score = score(*c.endpoint, c.load, now) + tie_break(random_);
        if (best == nullptr || its_score < best_score) {
            best = c.endpoint;
            best_score = its_score;
        }
    }
    return best;
}

std::optional<core::endpoint_id> scheduler::start(const dispatch_request& request,
                                                  core::time_point now)
{
    const endpoint_state* const chosen = choose(request, now);
    if (chosen == nullptr) {
        return std::nullopt;
    }
    const core::endpoint_id endpoint = chosen->known.endpoint;
    ++endpoints_[endpoint].own;
    return endpoint;
}

bool scheduler::has_candidate(const dispatch_request& request) const
{
    return std::any_of(endpoints_.begin(), endpoints_.end(),
                       [&request](const std::pair<const core::endpoint_id, endpoint_state>& e) {
                           return e.second.available && !request.excluded.contains(e.first);
                       });
}

std::optional<ticket> scheduler::wait(const dispatch_request& request)
{
    if (waiting_.size() >= max_waiting) {
        return std::nullopt;
    }
    last_ticket_ = last_ticket_.next();
    waiting_.insert(waiting_request{last_ticket_, request});
    return last_ticket_;
}

void scheduler::withdraw(ticket number)
{
    std::erase_if(waiting_, [number](const waiting_request& w) { return w.number == number; });
}

std::vector<dispatch_grant> scheduler::take_grants(core::time_point now)
{
    std::vector<dispatch_grant> grants;
    for (auto it = waiting_.begin(); it != waiting_.end();) {
        const std::optional<core::endpoint_id> endpoint = start(it->request, now);
        if (!endpoint && it->request.excluded.empty()) {
            // Whoever comes after has no better chance.
            break;
        }
        if (!endpoint) {
            ++it;
            continue;
        }
        grants.push_back({it->number, *endpoint});
        it = waiting_.erase(it);
    }
    return grants;
}

std::vector<ticket> scheduler::take_expired(core::time_point now)
{
    std::vector<ticket> expired;
    for (auto it = waiting_.begin(); it != waiting_.end();) {
        if (it->request.give_up > now) {
            ++it;
            continue;
        }
        expired.push_back(it->number);
        it = waiting_.erase(it);
    }
    return expired;
}

void scheduler::finish(const core::endpoint_id& endpoint, work_end end, core::duration took,
                       core::time_point now)
{
    const auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end()) {
        return;
    }
    endpoint_state& s = found->second;
    s.own -= s.own > 0 ? 1 : 0;
    switch (end) {
    case work_end::done:
    case work_end::failed: {
        s.failures_in_a_row = 0;
        const double ms = to_ms(took);
        s.latency_ms += (s.latency_ms == 0 ? 1.0 : latency_weight) * (ms - s.latency_ms);
        s.latency_at = now;
        service_ms_ += (service_ms_ == 0 ? 1.0 : latency_weight) * (ms - service_ms_);
        break;
    }
    case work_end::refused:
        s.passed_over_until = std::max(s.passed_over_until, now + refusal_pause);
        break;
    case work_end::broken: {
        const unsigned doublings = std::min(s.failures_in_a_row, 3U);
        ++s.failures_in_a_row;
        const std::chrono::milliseconds pause =
            std::min(first_failure_pause * (1 << doublings), longest_failure_pause);
        s.passed_over_until = std::max(s.passed_over_until, now + pause);
        break;
    }
    case work_end::abandoned:
        break;
    }
    if (!s.available && s.own == 0) {
        endpoints_.erase(found);
    }
}

std::map<core::endpoint_id, unsigned> scheduler::own_load() const
{
    std::map<core::endpoint_id, unsigned> load;
    for (const std::pair<const core::endpoint_id, endpoint_state>& entry : endpoints_) {
        if (entry.second.own > 0) {
            load[entry.first] = entry.second.own;
        }
    }
    return load;
}

std::chrono::milliseconds scheduler::retry_after() const
{
    // A slot becomes free every service time over slots; those who wait come first.
    double slots = 0;
    for (const std::pair<const core::endpoint_id, endpoint_state>& entry : endpoints_) {
        slots += entry.second.available
                     ? std::min(limit_, static_cast<double>(entry.second.known.concurrency))
                     : 0;
    }
    const double queue = static_cast<double>(waiting_.size() + 1);
    const std::chrono::milliseconds expected(
        static_cast<std::int64_t>(service_ms_ * queue / std::max(slots, 1.0)));
    return std::clamp(expected, shortest_retry_after, longest_retry_after);
}

} // namespace currantpitch::dispatch
