#include "capacity/endpointcapacities.h"

#include <algorithm>
#include <cmath>

namespace currantpitch::capacity {

namespace {

double log_ms(core::duration latency)
{
    const core::duration bounded =
        std::clamp<core::duration>(latency, std::chrono::microseconds(1), max_latency);
    return std::log(std::chrono::duration<double, std::milli>(bounded).count());
}

template <class Duration>
Duration latency_of(double log_latency)
{
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(std::exp(log_latency)));
}

unsigned requests(double limit)
{
    return std::max(static_cast<unsigned>(std::lround(limit)), 1U);
}

/// Limit that rises when its last evidence is older than limit_hold_time.
double risen(double limit, core::time_point evidence_at, core::time_point now)
{
    const core::duration rising = now - evidence_at - limit_hold_time;
    return limit + std::max(std::chrono::duration<double>(rising) /
                                std::chrono::duration<double>(limit_rise_time),
                            0.0);
}

} // namespace

endpoint_capacities::endpoint_state* endpoint_capacities::find(const core::endpoint_id& endpoint)
{
    const auto found = endpoints_.find(endpoint);
    return found == endpoints_.end() ? nullptr : &found->second;
}

void endpoint_capacities::set_endpoints(const std::vector<known_endpoint>& endpoints)
{
    std::map<core::endpoint_id, endpoint_state> previous = std::exchange(endpoints_, {});
    for (const known_endpoint& e : endpoints) {
        const auto found = previous.find(e.endpoint);
        const bool same = found != previous.end() &&
                          found->second.properties.incarnation == e.incarnation &&
                          found->second.properties.declared == e.declared;
        endpoint_state& s = endpoints_[e.endpoint];
        if (same) {
            s = std::move(found->second);
            continue;
        }
        s.properties = e;
        s.concurrency = std::max(e.declared, 1U);
        s.limit = s.concurrency;
    }
}

started_request endpoint_capacities::on_started(const core::endpoint_id& endpoint,
                                                unsigned load) const
{
    const auto found = endpoints_.find(endpoint);
    return {endpoint,
            found == endpoints_.end() ? core::incarnation{} : found->second.properties.incarnation,
            load};
}

std::optional<double> endpoint_capacities::reference() const
{
    for (std::size_t i = normal_window + 1; i-- > 0;) {
        if (references_[i]) {
            return references_[i];
        }
    }
    return std::nullopt;
}

void endpoint_capacities::on_finished(const started_request& request, core::duration latency,
                                      request_end end, core::time_point now)
{
    endpoint_state* const s = find(request.endpoint);
    if (s == nullptr || s->properties.incarnation != request.incarnation) {
        return;
    }
    if (end == request_end::refused && !advance_together_) {
        // It says only that all slots were in use, and a full service refuses at all endpoints.
        return;
    }
    const bool failed = end == request_end::failed || end == request_end::refused;
    latency_sample sample{now, std::max(request.load, 1U), failure_log_latency, {}};
    if (!failed) {
        sample.log_latency = log_ms(latency);
    }
    if (end == request_end::unfinished) {
        const std::optional<double> normal = reference();
        if (!normal || sample.log_latency < *normal + std::log(unfinished_ratio)) {
            return;
        }
    }
    s->unsent.push_back(sample);
    if (s->unsent.size() > max_reported_samples) {
        s->unsent.pop_front();
    }
    s->samples.add(std::move(sample));
    samples_added_ = true;
}

void endpoint_capacities::on_peer_report(const core::host_id& peer,
                                         const std::vector<endpoint_samples>& report,
                                         core::time_point now)
{
    for (const endpoint_samples& e : report) {
        endpoint_state* const s = find(e.endpoint);
        if (s == nullptr || s->properties.incarnation != e.incarnation) {
            continue;
        }
        const std::size_t count = std::min(e.samples.size(), max_reported_samples);
        for (std::size_t i = 0; i < count; ++i) {
            const reported_sample& r = e.samples[i];
            const bool valid = r.age >= r.age.zero() && r.age <= sample_lifetime &&
                               r.latency >= r.latency.zero() && r.latency <= max_latency;
            if (valid) {
                const bool failed = r.latency == r.latency.zero();
                s->samples.add({now - r.age, std::max(r.load, 1U),
                                failed ? failure_log_latency : log_ms(r.latency), peer});
                samples_added_ = true;
            }
        }
    }
}

std::vector<endpoint_samples> endpoint_capacities::report(core::time_point now)
{
    std::vector<endpoint_samples> report;
    if (now - reported_at_ < report_interval) {
        return report;
    }
    // Begins after the last endpoint of the previous report, so that all get their turn.
    auto it = endpoints_.upper_bound(last_reported_);
    for (std::size_t i = 0; i < endpoints_.size() && report.size() < max_reported_endpoints; ++i) {
        it = it == endpoints_.end() ? endpoints_.begin() : it;
        endpoint_state& s = it->second;
        endpoint_samples reported{it->first, s.properties.incarnation, {}};
        for (const latency_sample& sample : std::exchange(s.unsent, {})) {
            const core::duration age = now - sample.at;
            if (age > sample_lifetime) {
                continue;
            }
            const bool failed = sample.log_latency >= failure_log_latency;
            reported.samples.push_back(
                {sample.load,
                 failed ? std::chrono::microseconds::zero()
                        : std::max(latency_of<std::chrono::microseconds>(sample.log_latency),
                                   std::chrono::microseconds(1)),
                 std::chrono::duration_cast<std::chrono::milliseconds>(age)});
        }
        if (!reported.samples.empty()) {
            last_reported_ = it->first;
            report.push_back(std::move(reported));
        }
        ++it;
    }
    if (!report.empty()) {
        reported_at_ = now;
    }
    return report;
}

unsigned endpoint_capacities::concurrency_of(const core::endpoint_id& endpoint, unsigned declared,
                                             core::time_point now)
{
    evaluate(now);
    const endpoint_state* const s = find(endpoint);
    return s == nullptr ? declared : std::min(s->concurrency, declared);
}

unsigned endpoint_capacities::limit_of(const core::endpoint_id& endpoint, unsigned declared,
                                       core::time_point now)
{
    evaluate(now);
    const endpoint_state* const s = find(endpoint);
    return s == nullptr ? declared : std::min(s->limit, declared);
}

double endpoint_capacities::slowdown_of(const core::endpoint_id& endpoint, core::time_point now)
{
    evaluate(now);
    const endpoint_state* const s = find(endpoint);
    return s == nullptr ? 1 : s->slowness;
}

bool endpoint_capacities::any_reduced(core::time_point now)
{
    evaluate(now);
    return any_reduced_;
}

bool endpoint_capacities::take_probe(const core::endpoint_id& endpoint, core::time_point now)
{
    evaluate(now);
    endpoint_state* const s = find(endpoint);
    if (s == nullptr || !s->slow) {
        return false;
    }
    const latency_sample* const last = s->samples.last();
    const core::time_point tried_at =
        std::max(s->probed_at, last == nullptr ? s->probed_at : last->at);
    const core::duration interval =
        s->last_sample_good ? probe_interval_after_good : probe_interval;
    if (now - tried_at < interval) {
        return false;
    }
    const double fraction = s->last_sample_good ? probe_fraction_after_good : probe_fraction;
    if (!std::bernoulli_distribution(fraction)(random_)) {
        return false;
    }
    s->probed_at = now;
    return true;
}

std::vector<capacity_change> endpoint_capacities::take_changes()
{
    return std::exchange(changes_, {});
}

void endpoint_capacities::evaluate(core::time_point now)
{
    if (now - evaluated_at_ < evaluation_interval || (!samples_added_ && !any_reduced_)) {
        return;
    }
    evaluated_at_ = now;
    samples_added_ = false;
    std::vector<window_medians> low;
    std::vector<window_medians> all;
    for (std::pair<const core::endpoint_id, endpoint_state>& entry : endpoints_) {
        entry.second.samples.expire(now);
        low.push_back(medians_of(entry.second.samples, load_range{0, low_load}));
        all.push_back(medians_of(entry.second.samples, load_range{}));
    }
    // A group is compared with its median endpoint. Independent endpoints are compared with the
    // faster ones, so that most of them may be slow.
    const double fraction = advance_together_ ? 0.5 : 0.25;
    const std::size_t min_endpoints = advance_together_ ? min_group_size : 1;
    low_references_ = references_of(low, fraction, min_endpoints);
    references_ = references_of(all, fraction, min_endpoints);
    any_reduced_ = false;
    std::size_t i = 0;
    for (std::pair<const core::endpoint_id, endpoint_state>& entry : endpoints_) {
        endpoint_state& s = entry.second;
        update_slowdown(s, low[i], all[i]);
        update_saturation(s);
        update_concurrency(s, now);
        any_reduced_ = any_reduced_ || s.concurrency < s.properties.declared;
        ++i;
    }
}

void endpoint_capacities::update_slowdown(endpoint_state& s, const window_medians& low,
                                          const window_medians& all)
{
    const double tolerated = advance_together_ ? tolerated_ratio_of_group : tolerated_ratio;
    const std::size_t min_window = advance_together_ ? min_group_window : 1;
    const std::optional<double> normal = reference();
    const latency_sample* const last = s.samples.last();
    s.last_sample_good = normal && last != nullptr &&
                         last->log_latency < *normal + std::log(recovered_ratio_of_large);
    if (s.slow && normal) {
        const bool large = s.slow->ratio >= large_slowdown;
        const std::size_t size = large ? recovery_window_of_large : recovery_window;
        const double ratio = large ? recovered_ratio_of_large : recovered_ratio;
        const std::optional<window_median> newest = s.samples.newest(size, load_range{});
        if (newest && newest->upper_log_latency < *normal + std::log(ratio)) {
            // Older samples would show the slowdown again.
            s.samples.keep_newest(size);
            s.slow.reset();
            return;
        }
    }
    // At high loads a latency may come from the load. Only an endpoint that has no samples at low
    // loads is compared at all loads.
    const bool compare_low = !advance_together_ && low[0].has_value();
    const std::optional<slowdown> found =
        find_slowdown(compare_low ? low : all, compare_low ? low_references_ : references_,
                      tolerated, min_window);
    if (found) {
        s.slow = found;
    }
}

void endpoint_capacities::update_saturation(endpoint_state& s) const
{
    if (advance_together_) {
        return;
    }
    if (s.slow) {
        // Requests pile up at an endpoint that has become slow, so its latency seems to rise with
        // its load.
        s.saturated.reset();
        return;
    }
    const std::optional<saturation> found = find_saturation(s.samples, s.properties.declared);
    // Samples that were already taken into account do not hold the limit down.
    if (found &&
        (!s.saturated || found->evidence.window.newest > s.saturated->evidence.window.newest)) {
        s.saturated = found;
    }
}

void endpoint_capacities::update_concurrency(endpoint_state& s, core::time_point now)
{
    const double declared = s.properties.declared;
    double limit = declared;
    s.limit = s.properties.declared;
    s.slowness = 1;
    if (s.slow) {
        const double reduced = std::max(declared / s.slow->ratio,
                                        advance_together_ ? declared * min_group_fraction : 1);
        const double risen_limit = risen(reduced, s.slow->window.newest, now);
        if (risen_limit >= declared) {
            s.slow.reset();
        }
        limit = std::min(limit, risen_limit);
        s.slowness = declared / limit;
    }
    if (s.saturated) {
        const double risen_limit =
            risen(s.saturated->concurrency, s.saturated->evidence.window.newest, now);
        if (risen_limit >= declared) {
            s.saturated.reset();
        }
        limit = std::min(limit, risen_limit);
        s.limit = std::min(s.limit, requests(risen_limit));
    }
    const unsigned concurrency = requests(limit);
    const unsigned before = std::exchange(s.concurrency, concurrency);
    if (before == concurrency) {
        return;
    }
    const std::optional<window_median> latest = s.samples.newest(recovery_window_of_large, {});
    capacity_change change;
    change.endpoint = s.properties.endpoint;
    change.from = before;
    change.to = concurrency;
    change.declared = s.properties.declared;
    change.slowdown = s.slow ? s.slow->ratio : 1;
    change.saturation = s.saturated ? s.saturated->concurrency : 0;
    if (latest) {
        change.latency = latency_of<std::chrono::milliseconds>(latest->log_latency);
    }
    change.reference = latency_of<std::chrono::milliseconds>(reference().value_or(0));
    change.samples = s.samples.size();
    change.own_samples = s.samples.own_count();
    changes_.push_back(std::move(change));
}

} // namespace currantpitch::capacity
