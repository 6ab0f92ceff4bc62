#pragma once

#include "admission/recentparts.h"
#include "admission/suspectverdict.h"
#include "core/identifiers.h"
#include "core/runtimeclock.h"

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace currantpitch::admission {

/// A request that an endpoint was running when it crashed, and that had made no progress there.
struct part_crash {
    /// Parts of the request's prompt that other requests may share.
    std::vector<core::prompt_part_id> parts;
    core::endpoint_id endpoint;
    core::incarnation endpoint_incarnation;
    /// The endpoint had begun to answer this request.
    bool answer_begun = false;
    core::time_point at;
};

/// Finds the parts of prompts that crash each endpoint which begins an answer on them. The
/// evidence against a part is a crash of an endpoint with a request that contains it and has made
/// no progress; any progress of another request with the part clears it. Several parts that are
/// always seen together are suspected together: a request is held back only if it contains all of
/// them, and one that contains some of them shows which are sound.
///
/// A crash has one cause. Of the requests that the endpoint was running, only those with most
/// evidence against them are suspected.
///
/// Suspects are held back for some time. After it one request is let through as a probe, so that a
/// part that is suspected wrongly is cleared. Each probe that crashes its endpoint makes the time
/// longer.
class part_suspects {
public:
    /// Records a crash. Returns false if it was known, is out of date or no part is to blame.
    bool on_crash(const part_crash& crash);
    /// Records that a request with these parts made progress at an endpoint. Returns the parts
    /// among them against which there was evidence before.
    std::vector<core::prompt_part_id> on_progress(const std::vector<core::prompt_part_id>& parts,
                                                  core::time_point at);

    suspect_verdict verdict(const std::vector<core::prompt_part_id>& parts,
                            core::time_point now) const;
    /// Time after which a refused request with these parts may be tried again.
    core::duration hold_time(const std::vector<core::prompt_part_id>& parts,
                             core::time_point now) const;
    /// Holds back all other requests with the same suspects while a probe with these parts runs.
    void begin_probe(const std::vector<core::prompt_part_id>& parts, core::time_point now);
    /// Ends a probe that has shown nothing, as the request did not run.
    void end_probe(const std::vector<core::prompt_part_id>& parts);

    /// Time of the last known progress of a request with the part.
    std::optional<core::time_point> last_progress(const core::prompt_part_id& part) const
    {
        return progress_.find(part);
    }
    /// Drops crashes older than crash_evidence_lifetime.
    void expire(core::time_point now);
    /// The crashes on record, oldest first.
    const std::vector<part_crash>& crashes() const { return crashes_; }
    /// The suspected parts, each set of which is suspected together.
    std::vector<std::vector<core::prompt_part_id>> suspects() const;

private:
    /// Evidence against one part.
    struct evidence {
        /// Weight of the crashes. Those at about the same time count as one, since they may have a
        /// cause outside the requests.
        unsigned weight_by_time = 0;
        /// Number of crashes after the part had been held back, that is, by probes.
        unsigned failed_probes = 0;
        core::time_point last_crash_at;
        /// Sum of the weights of all endpoints that crashed. Of several parts, the one with the
        /// highest sum is the most suspect.
        unsigned weight_by_endpoint = 0;
    };
    /// How long parts that are suspected together are held back.
    struct hold {
        core::time_point held_until;
        core::time_point probed_until;
    };
    using part_set = std::set<core::prompt_part_id>;
    using endpoint_key = std::pair<core::endpoint_id, core::incarnation>;
    /// The requests with most evidence against them among those that an endpoint was running when
    /// it crashed.
    struct likely_causes {
        std::map<part_set, evidence> sets;
        /// Weight of that evidence, by endpoint.
        unsigned weight = 0;
    };

    std::map<core::prompt_part_id, evidence> weigh_evidence() const;
    /// The parts of a crashed request that are most suspect, and the evidence against each of them.
    std::pair<part_set, evidence>
    most_suspect_parts(const part_crash& crash,
                       const std::map<core::prompt_part_id, evidence>& by_part) const;
    std::map<endpoint_key, likely_causes> find_causes() const;
    /// The sets of suspects that are contained in these parts.
    std::vector<const part_set*> sets_in(const std::vector<core::prompt_part_id>& parts) const;
    bool is_evidence_against(const part_crash& crash, const core::prompt_part_id& part) const;
    /// Derives the suspects from the crashes and the progress since then.
    void update_suspects();

    /// Sorted by time.
    std::vector<part_crash> crashes_;
    recent_parts progress_;
    std::map<part_set, hold> suspects_;
};

} // namespace currantpitch::admission
