#include "intents/disseminator.h"

#include "intents/intentsconstants.h"

namespace currantpitch::intents {

using objectstore::object;

sync_status disseminator::own_status() const
{
    return {replica_.complete(), replica_.newest(), replica_.content_hash()};
}

std::vector<sync_outgoing> disseminator::on_listing(const objectstore::listing& l,
                                                    core::time_point now)
{
    has_content_ = true;
    needs_listing_ = false;
    const std::vector<object> applied = replica_.apply(change_set{{}, l.at, true, l.objects});
    applied_.insert(applied_.end(), applied.begin(), applied.end());
    return push(now);
}

std::vector<sync_outgoing> disseminator::on_watch_event(const objectstore::watch_event& e,
                                                        core::time_point now)
{
    if (e.changed && replica_.apply(*e.changed)) {
        applied_.push_back(*e.changed);
    }
    const core::revision before = replica_.complete();
    replica_.mark_complete(e.at);
    if (!e.changed && replica_.complete() == before) {
        return {};
    }
    return push(now);
}

std::vector<sync_outgoing> disseminator::on_peer_up(const core::host_id& peer)
{
    peers_[peer] = peer_state{};
    return {sync_outgoing{peer, own_status()}};
}

void disseminator::on_peer_down(const core::host_id& peer)
{
    peers_.erase(peer);
}

std::vector<sync_outgoing> disseminator::on_status(const core::host_id& peer,
                                                   const sync_status& status, core::time_point now)
{
    const auto found = peers_.find(peer);
    if (found == peers_.end()) {
        return {};
    }
    peer_state& state = found->second;
    state.status_known = true;
    state.complete = status.complete;
    state.newest = status.newest;
    state.content_hash = status.content_hash;
    detect_divergence(state);
    std::vector<sync_outgoing> out;
    const std::optional<sync_outgoing> changes = changes_for(peer, state, now);
    if (changes) {
        out.push_back(*changes);
    }
    return out;
}

void disseminator::detect_divergence(const peer_state& state)
{
    const bool comparable = state.complete == replica_.complete() &&
                            state.newest == state.complete &&
                            replica_.newest() == replica_.complete();
    if (comparable && state.content_hash != replica_.content_hash()) {
        needs_listing_ = true;
    }
}

std::vector<sync_outgoing> disseminator::on_changes(const core::host_id& peer,
                                                    const sync_changes& changes,
                                                    core::time_point now)
{
    const std::vector<object> applied =
        replica_.apply(change_set{changes.from, changes.to, changes.full, changes.objects});
    applied_.insert(applied_.end(), applied.begin(), applied.end());
    has_content_ = has_content_ || replica_.complete() > core::revision{};
    const auto found = peers_.find(peer);
    if (found != peers_.end()) {
        found->second.status_known = true;
        found->second.complete = std::max(found->second.complete, changes.to);
    }
    return push(now);
}

std::vector<sync_outgoing> disseminator::push(core::time_point now)
{
    std::vector<sync_outgoing> out;
    for (std::pair<const core::host_id, peer_state>& entry : peers_) {
        const std::optional<sync_outgoing> changes = changes_for(entry.first, entry.second, now);
        if (changes) {
            out.push_back(*changes);
        }
    }
    return out;
}

std::optional<sync_outgoing> disseminator::changes_for(const core::host_id& peer, peer_state& state,
                                                       core::time_point now)
{
    const core::revision own = replica_.complete();
    if (!state.status_known || own <= state.complete) {
        return std::nullopt;
    }
    const bool already_sent = state.sent_revision == own && now - state.sent_at < resend_interval;
    if (already_sent) {
        return std::nullopt;
    }
    // Changes sent within the resend interval are assumed to arrive. If they are lost, the next
    // status of the peer shows it.
    const bool in_flight =
        state.sent_revision > state.complete && now - state.sent_at < resend_interval;
    const core::revision from = in_flight ? state.sent_revision : state.complete;
    change_set missing = replica_.changes_since(from);
    state.sent_revision = own;
    state.sent_at = now;
    return sync_outgoing{
        peer, sync_changes{missing.from, missing.to, missing.full, std::move(missing.objects)}};
}

std::vector<sync_outgoing> disseminator::statuses() const
{
    std::vector<sync_outgoing> out;
    for (const std::pair<const core::host_id, peer_state>& entry : peers_) {
        out.push_back({entry.first, own_status()});
    }
    return out;
}

bool disseminator::ready() const
{
    if (!has_content_) {
        return false;
    }
    for (const std::pair<const core::host_id, peer_state>& entry : peers_) {
        if (entry.second.status_known && entry.second.complete > replica_.complete()) {
            return false;
        }
    }
    return true;
}

std::vector<object> disseminator::take_applied()
{
    return std::exchange(applied_, {});
}

} // namespace currantpitch::intents
