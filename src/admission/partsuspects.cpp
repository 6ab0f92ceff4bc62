#include "admission/partsuspects.h"

#include "admission/admissionconstants.h"
#include "admission/holdtime.h"

#include <algorithm>

namespace currantpitch::admission {

namespace {

unsigned weight_of(const part_crash& crash)
{
    return crash.answer_begun ? begun_answer_weight : unbegun_answer_weight;
}

/// Raises the value if it is lower than the new one, and returns by how much.
unsigned raise(unsigned& value, unsigned to)
{
    const unsigned before = value;
    value = std::max(value, to);
    return value - before;
}

} // namespace

bool part_suspects::is_evidence_against(const part_crash& crash,
                                        const core::prompt_part_id& part) const
{
    const std::optional<core::time_point> progress = progress_.find(part);
    return !progress || *progress < crash.at;
}

bool part_suspects::on_crash(const part_crash& crash)
{
    const bool known =
        std::any_of(crashes_.begin(), crashes_.end(), [&crash](const part_crash& other) {
            return other.endpoint == crash.endpoint &&
                   other.endpoint_incarnation == crash.endpoint_incarnation &&
                   other.parts == crash.parts && other.answer_begun == crash.answer_begun;
        });
    const bool incriminating = std::any_of(crash.parts.begin(), crash.parts.end(),
                                           [this, &crash](const core::prompt_part_id& part) {
                                               return is_evidence_against(crash, part);
                                           });
    if (known || !incriminating) {
        return false;
    }
    if (crashes_.size() >= max_part_crashes) {
        crashes_.erase(crashes_.begin());
    }
    const auto later = std::upper_bound(
        crashes_.begin(), crashes_.end(), crash.at,
        [](core::time_point at, const part_crash& other) { return at < other.at; });
    crashes_.insert(later, crash);
    update_suspects();
    return true;
}

std::vector<core::prompt_part_id>
part_suspects::on_progress(const std::vector<core::prompt_part_id>& parts, core::time_point at)
{
    std::vector<core::prompt_part_id> cleared;
    bool first_progress = false;
    for (const core::prompt_part_id& part : parts) {
        const bool had_evidence =
            std::any_of(crashes_.begin(), crashes_.end(), [this, &part, at](const part_crash& c) {
                return c.at < at && is_evidence_against(c, part) &&
                       std::find(c.parts.begin(), c.parts.end(), part) != c.parts.end();
            });
        if (had_evidence) {
            cleared.push_back(part);
        }
        first_progress = first_progress || !progress_.find(part);
        progress_.record(part, at);
    }
    if (!crashes_.empty() && (first_progress || !cleared.empty())) {
        update_suspects();
    }
    return cleared;
}

std::map<core::prompt_part_id, part_suspects::evidence> part_suspects::weigh_evidence() const
{
    std::map<core::prompt_part_id, evidence> by_part;
    std::map<core::prompt_part_id, unsigned> episode_weights;
    std::map<std::pair<core::prompt_part_id, endpoint_key>, unsigned> endpoint_weights;
    for (const part_crash& crash : crashes_) {
        for (const core::prompt_part_id& part : crash.parts) {
            // A request whose answer had not begun may only have waited for a group that stands
            // still.
            const bool conclusive = crash.answer_begun || !progress_.find(part);
            if (!is_evidence_against(crash, part) || !conclusive) {
                continue;
            }
            evidence& e = by_part[part];
            unsigned& episode_weight = episode_weights[part];
            const core::duration since_last = crash.at - e.last_crash_at;
            if (e.weight_by_time == 0 || since_last > mass_failure_window) {
                episode_weight = 0;
            }
            if (e.weight_by_time > 0 && since_last >= initial_hold) {
                ++e.failed_probes;
            }
            e.weight_by_time += raise(episode_weight, weight_of(crash));
            e.weight_by_endpoint +=
                raise(endpoint_weights[{part, {crash.endpoint, crash.endpoint_incarnation}}],
                      weight_of(crash));
            e.last_crash_at = crash.at;
        }
    }
    return by_part;
}

std::pair<part_suspects::part_set, part_suspects::evidence>
part_suspects::most_suspect_parts(const part_crash& crash,
                                  const std::map<core::prompt_part_id, evidence>& by_part) const
{
    part_set most_suspect;
    evidence strongest;
    for (const core::prompt_part_id& part : crash.parts) {
        const auto found = by_part.find(part);
        // A part that has been sound needs a second crash.
        const unsigned needed_weight = begun_answer_weight * (progress_.find(part) ? 2 : 1);
        if (found == by_part.end() || !is_evidence_against(crash, part) ||
            found->second.weight_by_time < needed_weight ||
            found->second.weight_by_endpoint < strongest.weight_by_endpoint) {
            continue;
        }
        if (found->second.weight_by_endpoint > strongest.weight_by_endpoint) {
            most_suspect.clear();
            strongest = found->second;
        }
        most_suspect.insert(part);
    }
    return {most_suspect, strongest};
}

std::map<part_suspects::endpoint_key, part_suspects::likely_causes>
part_suspects::find_causes() const
{
    const std::map<core::prompt_part_id, evidence> by_part = weigh_evidence();
    std::map<endpoint_key, likely_causes> by_endpoint;
    for (const part_crash& crash : crashes_) {
        const std::pair<part_set, evidence> found = most_suspect_parts(crash, by_part);
        likely_causes& causes = by_endpoint[{crash.endpoint, crash.endpoint_incarnation}];
        if (found.first.empty() || found.second.weight_by_endpoint < causes.weight) {
            continue;
        }
        if (found.second.weight_by_endpoint > causes.weight) {
            causes = {{}, found.second.weight_by_endpoint};
        }
        causes.sets.insert(found);
    }
    return by_endpoint;
}

void part_suspects::update_suspects()
{
    std::map<part_set, hold> updated;
    for (const std::pair<const endpoint_key, likely_causes>& crashed : find_causes()) {
        const std::map<part_set, evidence>& sets = crashed.second.sets;
        for (const std::pair<const part_set, evidence>& cause : sets) {
            const evidence& e = cause.second;
            hold& set = updated[cause.first];
            const core::duration initial = sets.size() > 1 ? initial_ambiguous_hold : initial_hold;
            set.held_until =
                std::max(set.held_until, e.last_crash_at + hold_after(e.failed_probes, initial));
            const auto before = suspects_.find(cause.first);
            if (before != suspects_.end()) {
                set.probed_until = before->second.probed_until;
            }
        }
    }
    suspects_ = std::move(updated);
}

std::vector<const part_suspects::part_set*>
part_suspects::sets_in(const std::vector<core::prompt_part_id>& parts) const
{
    std::vector<const part_set*> found;
    if (suspects_.empty() || parts.empty()) {
        return found;
    }
    const part_set contained(parts.begin(), parts.end());
    for (const std::pair<const part_set, hold>& s : suspects_) {
        if (std::includes(contained.begin(), contained.end(), s.first.begin(), s.first.end())) {
            found.push_back(&s.first);
        }
    }
    return found;
}

suspect_verdict part_suspects::verdict(const std::vector<core::prompt_part_id>& parts,
                                       core::time_point now) const
{
    if (sets_in(parts).empty()) {
        return suspect_verdict::admit;
    }
    return hold_time(parts, now) > core::duration::zero() ? suspect_verdict::refuse
                                                          : suspect_verdict::probe;
}

core::duration part_suspects::hold_time(const std::vector<core::prompt_part_id>& parts,
                                        core::time_point now) const
{
    core::time_point until = now;
    for (const part_set* const suspected : sets_in(parts)) {
        const hold& set = suspects_.at(*suspected);
        until = std::max({until, set.held_until, set.probed_until});
    }
    return until - now;
}

void part_suspects::begin_probe(const std::vector<core::prompt_part_id>& parts,
                                core::time_point now)
{
    for (const part_set* const suspected : sets_in(parts)) {
        suspects_.at(*suspected).probed_until = now + probe_timeout;
    }
}

void part_suspects::end_probe(const std::vector<core::prompt_part_id>& parts)
{
    for (const part_set* const suspected : sets_in(parts)) {
        suspects_.at(*suspected).probed_until = {};
    }
}

void part_suspects::expire(core::time_point now)
{
    const std::size_t dropped = std::erase_if(crashes_, [now](const part_crash& crash) {
        return now - crash.at > crash_evidence_lifetime;
    });
    if (dropped > 0) {
        update_suspects();
    }
}

std::vector<std::vector<core::prompt_part_id>> part_suspects::suspects() const
{
    std::vector<std::vector<core::prompt_part_id>> sets;
    for (const std::pair<const part_set, hold>& s : suspects_) {
        sets.emplace_back(s.first.begin(), s.first.end());
    }
    return sets;
}

} // namespace currantpitch::admission
