#include "sessions/attemptgate.h"

#include "sessions/sessionsconstants.h"

namespace currantpitch::sessions {

using core::errc;
using core::error;

core::result<std::vector<attempt_report>> attempt_gate::open(const hello& h, core::time_point now)
{
    if (may_have_dropped(h)) {
        return error{errc::stale, "unsettled attempts of the incarnation may have been dropped"};
    }
    entry_state& state = entries_[h.incarnation];
    if (h.epoch <= std::max(state.epoch, state.fenced_epoch)) {
        return error{errc::stale, "the epoch is not above the highest known one"};
    }
    state.epoch = h.epoch;
    state.last_contact = now;
    drop_below(state, h.settled_below);
    std::vector<attempt_report> started;
    for (const std::pair<const core::attempt_number, attempt_state>& entry : state.attempts) {
        if (!entry.second.settled) {
            started.push_back({entry.first, entry.second.end});
        }
    }
    return started;
}

bool attempt_gate::may_have_dropped(const hello& h) const
{
    if (entries_.contains(h.incarnation)) {
        return false;
    }
    const auto found = dropped_.find(h.incarnation);
    const dropped_entry dropped = found == dropped_.end() ? dropped_entry{} : found->second;
    return h.settled_below <= dropped.highest_started || h.epoch <= dropped.epoch;
}

core::result<void> attempt_gate::start(core::incarnation entry, core::epoch epoch,
                                       core::attempt_number number)
{
    const std::map<core::incarnation, entry_state>::iterator found = entries_.find(entry);
    if (found == entries_.end() || found->second.epoch != epoch) {
        return error{errc::stale, "the session has been fenced"};
    }
    entry_state& state = found->second;
    if (state.blocked_attempts.contains(number)) {
        return error{errc::refused, "the attempt was resolved as never started"};
    }
    if (number < state.settled_below || state.attempts.contains(number)) {
        return error{errc::conflict, "the attempt number has been used"};
    }
    state.highest_started = std::max(state.highest_started, number);
    state.attempts[number] = attempt_state{};
    return core::ok();
}

void attempt_gate::end(core::incarnation entry, const work_end& result)
{
    const std::map<core::incarnation, entry_state>::iterator found = entries_.find(entry);
    if (found == entries_.end()) {
        return;
    }
    const std::map<core::attempt_number, attempt_state>::iterator attempt =
        found->second.attempts.find(result.number);
    if (attempt == found->second.attempts.end() || attempt->second.settled) {
        return;
    }
    attempt->second.end = result;
    if (result.body.size() > max_kept_reply_bytes) {
        attempt->second.end->body.clear();
        attempt->second.end->detail = "the reply was too long to keep";
    }
}

void attempt_gate::settle(core::incarnation entry, const entry_heartbeat& heartbeat,
                          core::time_point now)
{
    const std::map<core::incarnation, entry_state>::iterator found = entries_.find(entry);
    if (found == entries_.end()) {
        return;
    }
    entry_state& state = found->second;
    state.last_contact = now;
    for (const core::attempt_number& number : heartbeat.settled) {
        const std::map<core::attempt_number, attempt_state>::iterator attempt =
            state.attempts.find(number);
        if (attempt != state.attempts.end()) {
            attempt->second.settled = true;
            attempt->second.end.reset();
        }
    }
    drop_below(state, heartbeat.settled_below);
}

void attempt_gate::drop_below(entry_state& state, core::attempt_number below)
{
    state.settled_below = std::max(state.settled_below, below);
    state.attempts.erase(state.attempts.begin(), state.attempts.lower_bound(below));
    state.blocked_attempts.erase(state.blocked_attempts.begin(),
                                 state.blocked_attempts.lower_bound(below));
}

resolution attempt_gate::resolve_attempt(const resolve& request, core::time_point now)
{
    resolution answer{request.query, attempt_status::not_known, std::nullopt};
    const attempt_identity& id = request.attempt;
    if (id.agent != own_incarnation_ || dropped_.contains(id.entry)) {
        return answer;
    }
    if (dropped_overflow_ && !entries_.contains(id.entry)) {
        return answer;
    }
    const bool is_new = !entries_.contains(id.entry);
    entry_state& state = entries_[id.entry];
    if (is_new) {
        state.last_contact = now;
    }
    const std::map<core::attempt_number, attempt_state>::const_iterator attempt =
        state.attempts.find(id.number);
    if (attempt != state.attempts.end()) {
        if (attempt->second.settled) {
            return answer;
        }
        answer.status = attempt->second.end ? attempt_status::ended : attempt_status::running;
        answer.end = attempt->second.end;
        return answer;
    }
    if (id.number < state.settled_below) {
        return answer;
    }
    answer.status = attempt_status::never_started;
    if (id.epoch > state.epoch) {
        state.fenced_epoch = std::max(state.fenced_epoch, id.epoch);
    }
    else if (id.epoch == state.epoch) {
        state.blocked_attempts.insert(id.number);
    }
    return answer;
}

void attempt_gate::expire(core::time_point now)
{
    for (auto it = entries_.begin(); it != entries_.end();) {
        if (now - it->second.last_contact < incarnation_retention) {
            ++it;
            continue;
        }
        if (!dropped_.contains(it->first)) {
            dropped_order_.push_back(it->first);
        }
        dropped_entry& dropped = dropped_[it->first];
        dropped.highest_started = std::max(dropped.highest_started, it->second.highest_started);
        dropped.epoch = std::max({dropped.epoch, it->second.epoch, it->second.fenced_epoch});
        it = entries_.erase(it);
    }
    while (dropped_order_.size() > max_dropped_incarnations) {
        dropped_.erase(dropped_order_.front());
        dropped_order_.pop_front();
        dropped_overflow_ = true;
    }
}

std::size_t attempt_gate::retained_attempts() const
{
    std::size_t total = 0;
    for (const std::pair<const core::incarnation, entry_state>& entry : entries_) {
        total += entry.second.attempts.size();
    }
    return total;
}

} // namespace currantpitch::sessions
