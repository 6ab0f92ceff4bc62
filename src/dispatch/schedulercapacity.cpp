// The part of the scheduler that learns how many requests each endpoint handles well.
#include "dispatch/scheduler.h"

#include "dispatch/dispatchconstants.h"

#include <algorithm>

namespace currantpitch::dispatch {

namespace {

capacity::request_end end_of(work_outcome outcome, bool responded)
{
    switch (outcome) {
    case work_outcome::done:
        return capacity::request_end::answered;
    case work_outcome::failed:
    case work_outcome::broken:
        return capacity::request_end::failed;
    case work_outcome::refused:
        return capacity::request_end::refused;
    case work_outcome::abandoned:
        break;
    }
    return responded ? capacity::request_end::answered : capacity::request_end::unfinished;
}

} // namespace

void scheduler::learn_capacity(std::uint64_t seed)
{
    learned_.emplace(seed);
    learned_->set_advance_together(!weigh_by_latency_);
}

void scheduler::set_weigh_by_latency(bool weigh)
{
    weigh_by_latency_ = weigh;
    if (learned_) {
        learned_->set_advance_together(!weigh);
    }
}

void scheduler::set_learned_endpoints(const std::vector<available_endpoint>& endpoints)
{
    if (!learned_) {
        return;
    }
    std::vector<capacity::known_endpoint> known;
    known.reserve(endpoints.size());
    for (const available_endpoint& e : endpoints) {
        known.push_back({e.endpoint, e.incarnation, e.concurrency});
    }
    learned_->set_endpoints(known);
}

capacity::started_request scheduler::begin_sample(const core::endpoint_id& endpoint,
                                                  core::time_point now)
{
    return learned_ ? learned_->on_started(endpoint, load_of(endpoint, now))
                    : capacity::started_request{};
}

void scheduler::end_sample(const capacity::started_request& request, work_outcome outcome,
                           bool responded, core::duration latency, core::time_point now)
{
    if (learned_) {
        learned_->on_finished(request, latency, end_of(outcome, responded), now);
    }
}

void scheduler::on_peer_samples(const core::host_id& peer,
                                const std::vector<capacity::endpoint_samples>& samples,
                                core::time_point now)
{
    if (learned_) {
        learned_->on_peer_report(peer, samples, now);
    }
}

std::vector<capacity::endpoint_samples> scheduler::take_samples(core::time_point now)
{
    return learned_ ? learned_->report(now) : std::vector<capacity::endpoint_samples>{};
}

std::vector<capacity::capacity_change> scheduler::take_capacity_changes(core::time_point now)
{
    if (!learned_) {
        return {};
    }
    update_slots(now);
    return learned_->take_changes();
}

void scheduler::update_slots(core::time_point now)
{
    if (!learned_) {
        return;
    }
    for (std::pair<const core::endpoint_id, endpoint_state>& entry : endpoints_) {
        entry.second.slots =
            learned_->concurrency_of(entry.first, entry.second.properties.concurrency, now);
        entry.second.slowdown = learned_->slowdown_of(entry.first, now);
        entry.second.max_requests =
            learned_->limit_of(entry.first, entry.second.properties.concurrency, now);
    }
}

std::map<core::endpoint_id, unsigned> scheduler::slots() const
{
    std::map<core::endpoint_id, unsigned> result;
    for (const std::pair<const core::endpoint_id, endpoint_state>& entry : endpoints_) {
        result[entry.first] = entry.second.slots;
    }
    return result;
}

const scheduler::endpoint_state* scheduler::probe(const std::vector<candidate>& candidates,
                                                  core::time_point now)
{
    for (const candidate& c : candidates) {
        if (learned_->take_probe(c.endpoint->properties.endpoint, now)) {
            return c.endpoint;
        }
    }
    return nullptr;
}

void scheduler::sample_by_speed(std::vector<candidate>::iterator first,
                                std::vector<candidate>::iterator last, std::size_t size)
{
    for (; size > 0 && first != last; ++first, --size) {
        std::vector<double> weights;
        std::transform(first, last, std::back_inserter(weights),
                       [](const candidate& c) { return 1 / c.endpoint->slowdown; });
        std::discrete_distribution<long> choice(weights.begin(), weights.end());
        std::iter_swap(first, first + choice(random_));
    }
}

} // namespace currantpitch::dispatch
