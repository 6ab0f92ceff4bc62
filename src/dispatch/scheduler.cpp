#include "dispatch/scheduler.h"

#include "core/counters.h"
#include "dispatch/dispatchconstants.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <tuple>

namespace currantpitch::dispatch {

namespace {

/// Added to the load of an endpoint in another failure domain, in requests. Enough to prefer the
/// own failure domain at equal loads, too little to unbalance them.
constexpr double other_domain_penalty = 0.3;
double to_ms(core::duration d)
{
    return std::chrono::duration<double, std::milli>(d).count();
}

} // namespace

std::string_view to_string(work_outcome o)
{
    switch (o) {
    case work_outcome::done:
        return "done";
    case work_outcome::failed:
        return "failed";
    case work_outcome::refused:
        return "refused";
    case work_outcome::broken:
        return "broken";
    case work_outcome::abandoned:
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
        s.properties = e;
        s.available = true;
    }
    std::erase_if(endpoints_, [](const std::pair<const core::endpoint_id, endpoint_state>& entry) {
        return !entry.second.available && entry.second.own_requests == 0;
    });
}

void scheduler::on_peer_load(const core::host_id& peer,
                             const std::map<core::endpoint_id, unsigned>& load,
                             core::time_point now)
{
    remove_peer(peer);
    peer_state& state = peers_[peer];
    state = peer_state{load, now};
    update_peer_totals(state, true);
    oldest_report_ = std::min(oldest_report_, now);
}

void scheduler::remove_peer(const core::host_id& peer)
{
    const auto found = peers_.find(peer);
    if (found != peers_.end()) {
        update_peer_totals(found->second, false);
        peers_.erase(found);
    }
}

void scheduler::update_peer_totals(const peer_state& peer, bool added)
{
    for (const std::pair<const core::endpoint_id, unsigned>& entry : peer.load) {
        unsigned& total = peer_totals_[entry.first];
        total = added ? total + entry.second : total - entry.second;
        if (total == 0) {
            peer_totals_.erase(entry.first);
        }
    }
}

void scheduler::remove_expired_reports(core::time_point now)
{
    if (peers_.empty() || now - oldest_report_ <= report_lifetime_) {
        return;
    }
    oldest_report_ = now;
    for (auto it = peers_.begin(); it != peers_.end();) {
        if (now - it->second.reported_at > report_lifetime_) {
            update_peer_totals(it->second, false);
            it = peers_.erase(it);
            continue;
        }
        oldest_report_ = std::min(oldest_report_, it->second.reported_at);
        ++it;
    }
}

unsigned scheduler::peer_load(const core::endpoint_id& endpoint) const
{
    const auto found = peer_totals_.find(endpoint);
    return found == peer_totals_.end() ? 0 : found->second;
}

unsigned scheduler::load_of(const core::endpoint_id& endpoint, core::time_point now)
{
    remove_expired_reports(now);
    const auto found = endpoints_.find(endpoint);
    return peer_load(endpoint) + (found == endpoints_.end() ? 0 : found->second.own_requests);
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
    if (s.properties.failure_domain != own_domain_) {
        score += other_domain_penalty;
    }
    if (weigh_by_latency_ && s.latency_ms > 0) {
        const double half_lives = to_ms(now - s.latency_updated_at) / to_ms(latency_half_life);
        const double age_weight = std::exp2(-half_lives);
        const double relative = s.latency_ms / mean_latency();
        score *= 1 + age_weight * (relative - 1);
    }
    return score;
}

bool scheduler::too_many_ejected(core::time_point now) const
{
    std::size_t available = 0;
    std::size_t ejected = 0;
    for (const std::pair<const core::endpoint_id, endpoint_state>& entry : endpoints_) {
        available += entry.second.available ? 1 : 0;
        ejected += entry.second.available && entry.second.ejected_until > now ? 1 : 0;
    }
    return static_cast<double>(ejected) > max_ejected_fraction * static_cast<double>(available);
}

namespace {

void count_left_out(backpressure::admission a)
{
    static core::counter& leaving =
        core::counter_for("endpoints_left_out_total", "reason=\"leaving\"");
    static core::counter& quiet = core::counter_for("endpoints_left_out_total", "reason=\"quiet\"");
    static core::counter& limited =
        core::counter_for("endpoints_left_out_total", "reason=\"limited\"");
    switch (a) {
    case backpressure::admission::leaving:
        leaving.add();
        break;
    case backpressure::admission::quiet:
        quiet.add();
        break;
    case backpressure::admission::refused:
    case backpressure::admission::pending:
        limited.add();
        break;
    default:
        break;
    }
}

} // namespace

std::vector<scheduler::candidate> scheduler::candidates(const dispatch_request& request,
                                                        bool include_requestable,
                                                        core::time_point now)
{
    using backpressure::admission;
    const bool ignore_ejections = too_many_ejected(now);
    // Permits are shared out among the entries already.
    const bool limited_only = fair_share_used(now);
    std::vector<candidate> found;
    for (const std::pair<const core::endpoint_id, endpoint_state>& entry : endpoints_) {
        const endpoint_state& s = entry.second;
        const bool eligible = s.available && !request.excluded.contains(entry.first) &&
                              (ignore_ejections || s.ejected_until <= now);
        if (!eligible) {
            continue;
        }
        const admission a = admission_of(s, now);
        count_left_out(a);
        const bool usable = (a == admission::unlimited && !limited_only) ||
                            a == admission::permitted || a == admission::at_hand ||
                            (a == admission::requestable && include_requestable);
        const unsigned load = s.own_requests + peer_load(entry.first);
        if (usable && (load < s.properties.concurrency || load == 0)) {
            found.push_back({&s, load, a});
        }
    }
    const auto is_permitted = [](const candidate& c) {
        return c.admission == admission::permitted;
    };
    if (std::any_of(found.begin(), found.end(), is_permitted)) {
        // A permit is lost if it is not used soon.
        std::erase_if(found, std::not_fn(is_permitted));
    }
    const auto waits = [&](const candidate& c) {
        return c.admission == admission::requestable &&
               signals_->cold(c.endpoint->properties.endpoint, now);
    };
    if (!std::all_of(found.begin(), found.end(), waits)) {
        std::erase_if(found, waits);
    }
    return found;
}

bool scheduler::fair_share_used(core::time_point now)
{
    remove_expired_reports(now);
    double slots = 0;
    double used = 0;
    double own = 0;
    for (const std::pair<const core::endpoint_id, endpoint_state>& entry : endpoints_) {
        const endpoint_state& s = entry.second;
        slots += usable_slots(s, now);
        used += s.own_requests + peer_load(entry.first);
        own += s.own_requests;
    }
    const double fair_share = std::max(slots / static_cast<double>(process_count_), 1.0);
    return used >= busy_fraction * slots && own + 1 > fair_share;
}

const scheduler::endpoint_state* scheduler::choose(const dispatch_request& request,
                                                   bool include_requestable, core::time_point now)
{
    std::vector<candidate> all = candidates(request, include_requestable, now);
    // Sample the own failure domain first, then all remaining candidates.
    const auto other_domains = std::partition(all.begin(), all.end(), [this](const candidate& c) {
        return c.endpoint->properties.failure_domain == own_domain_;
    });
    std::shuffle(all.begin(), other_domains, random_);
    const std::size_t own_domain_sampled =
        std::min(endpoint_sample_size, static_cast<std::size_t>(other_domains - all.begin()));
    std::shuffle(all.begin() + static_cast<long>(own_domain_sampled), all.end(), random_);
    all.resize(std::min(all.size(), own_domain_sampled + endpoint_sample_size));

    const endpoint_state* best = nullptr;
    double best_score = 0;
    std::uniform_real_distribution<double> tie_break(0, 0.2);
    for (const candidate& c : all) {
        const double candidate_score = score(*c.endpoint, c.load, now) + tie_break(random_);
        if (best == nullptr || candidate_score < best_score) {
            best = c.endpoint;
            best_score = candidate_score;
        }
    }
    return best;
}

std::optional<core::endpoint_id> scheduler::preferred(const dispatch_request& request,
                                                      core::time_point now)
{
    const endpoint_state* const chosen = choose(request, true, now);
    return chosen == nullptr ? std::nullopt
                             : std::optional<core::endpoint_id>(chosen->properties.endpoint);
}

bool scheduler::start_at(const core::endpoint_id& endpoint, core::time_point now)
{
    const auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end() || !found->second.available) {
        return false;
    }
    if (admission_of(found->second, now) == backpressure::admission::at_hand) {
        signals_->request_permit(endpoint, {}, now);
    }
    if (signals_ != nullptr && !signals_->admits(endpoint, now)) {
        return false;
    }
    ++found->second.own_requests;
    if (signals_ != nullptr) {
        signals_->take_permit(endpoint);
    }
    return true;
}

std::optional<core::endpoint_id> scheduler::start(const dispatch_request& request,
                                                  core::time_point now)
{
    const endpoint_state* const chosen = choose(request, false, now);
    if (chosen == nullptr) {
        return std::nullopt;
    }
    const core::endpoint_id endpoint = chosen->properties.endpoint;
    return start_at(endpoint, now) ? std::optional<core::endpoint_id>(endpoint) : std::nullopt;
}

bool scheduler::has_candidate(const dispatch_request& request) const
{
    return std::any_of(endpoints_.begin(), endpoints_.end(),
                       [&](const std::pair<const core::endpoint_id, endpoint_state>& e) {
                           const bool leaving = signals_ != nullptr && signals_->leaving(e.first);
                           return e.second.available && !leaving &&
                                  !request.excluded.contains(e.first);
                       });
}

std::optional<ticket> scheduler::enqueue(const dispatch_request& request)
{
    if (waiting_.size() >= max_waiting) {
        return std::nullopt;
    }
    last_ticket_ = last_ticket_.next();
    waiting_.insert(waiting_request{last_ticket_, request});
    return last_ticket_;
}

void scheduler::cancel(ticket number)
{
    std::erase_if(waiting_, [number](const waiting_request& w) { return w.number == number; });
}

std::vector<dispatch_grant> scheduler::take_grants(core::time_point now)
{
    std::vector<dispatch_grant> grants;
    for (auto it = waiting_.begin(); it != waiting_.end();) {
        const std::optional<core::endpoint_id> endpoint = start(it->request, now);
        if (!endpoint && it->request.excluded.empty()) {
            // Without exclusions it could run at any endpoint, so later requests find none either.
            break;
        }
        if (!endpoint) {
            ++it;
            continue;
        }
        grants.push_back({it->number, *endpoint});
        it = waiting_.erase(it);
    }
    request_permits(now);
    return grants;
}

std::vector<ticket> scheduler::take_expired(core::time_point now)
{
    std::vector<ticket> expired;
    for (auto it = waiting_.begin(); it != waiting_.end();) {
        const bool may_start =
            it->request.deadline > now && earliest_start(it->request, now) <= it->request.deadline;
        if (may_start) {
            ++it;
            continue;
        }
        expired.push_back(it->number);
        it = waiting_.erase(it);
    }
    return expired;
}

void scheduler::finish(const core::endpoint_id& endpoint, work_outcome outcome,
                       core::duration service_time, core::time_point now)
{
    const auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end()) {
        return;
    }
    endpoint_state& s = found->second;
    s.own_requests -= s.own_requests > 0 ? 1 : 0;
    switch (outcome) {
    case work_outcome::done:
    case work_outcome::failed: {
        s.consecutive_failures = 0;
        const double ms = to_ms(service_time);
        s.latency_ms += (s.latency_ms == 0 ? 1.0 : latency_weight) * (ms - s.latency_ms);
        s.latency_updated_at = now;
        mean_service_ms_ +=
            (mean_service_ms_ == 0 ? 1.0 : latency_weight) * (ms - mean_service_ms_);
        break;
    }
    case work_outcome::refused:
        s.ejected_until = std::max(s.ejected_until, now + refusal_ejection_time);
        break;
    case work_outcome::broken: {
        const unsigned doublings = std::min(s.consecutive_failures, 3U);
        ++s.consecutive_failures;
        const std::chrono::milliseconds ejection_time =
            std::min(initial_failure_ejection_time * (1 << doublings), max_failure_ejection_time);
        s.ejected_until = std::max(s.ejected_until, now + ejection_time);
        break;
    }
    case work_outcome::abandoned:
        break;
    }
    if (!s.available && s.own_requests == 0) {
        endpoints_.erase(found);
    }
}

std::map<core::endpoint_id, unsigned> scheduler::own_load() const
{
    std::map<core::endpoint_id, unsigned> load;
    for (const std::pair<const core::endpoint_id, endpoint_state>& entry : endpoints_) {
        if (entry.second.own_requests > 0) {
            load[entry.first] = entry.second.own_requests;
        }
    }
    return load;
}

} // namespace currantpitch::dispatch
