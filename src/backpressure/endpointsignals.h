#pragma once

#include "backpressure/backpressuremessages.h"
#include "core/runtimeclock.h"

#include <functional>
#include <map>
#include <optional>
#include <set>

namespace currantpitch::backpressure {

/// What an answer of an endpoint says about the requests that the endpoint accepts.
struct endpoint_signal {
    core::endpoint_id endpoint;
    core::incarnation incarnation;
    /// Requests per second that the endpoint accepts from all entries together.
    std::optional<double> request_limit;
    /// The endpoint leaves and wants no further requests.
    bool leaving = false;
    /// Time for which the endpoint wants no requests from this entry. Zero ends an earlier one.
    std::optional<std::chrono::milliseconds> quiet_time{};
    /// Time at which the request was sent that the endpoint answered.
    core::time_point asked_at;
};

/// Whether a request may be sent to an endpoint.
enum class admission {
    unlimited,   ///< the endpoint has named no limit
    permitted,   ///< there is a permit
    at_hand,     ///< a permit is granted at once when it is requested
    requestable, ///< a permit may be requested
    pending,     ///< the answer to the request for a permit, or the start of the permit, is awaited
    refused,     ///< no permit is available for now
    quiet,       ///< the endpoint wants no requests for now
    leaving,     ///< the endpoint wants no further requests
};

/// What is new in an answer of an endpoint.
struct signal_change {
    bool request_limit = false;
    bool leaving = false;
    bool quiet_time = false;

    bool any() const { return request_limit || leaving || quiet_time; }
};

/// What the endpoints have said themselves about the requests that they accept, apart from what the
/// store says of them. A request for an endpoint that has named a limit or is cold needs a permit.
/// An endpoint that leaves gets no requests until another incarnation of it is known.
class endpoint_signals {
public:
    /// Records what an answer says, received by this entry or by a peer. An answer without a limit
    /// ends an earlier one only if its request was sent after the limit was last named, as answers
    /// may overtake each other. A quiet time does not end sooner than an earlier one, unless it is
    /// zero.
    signal_change on_answer(const endpoint_signal& signal, core::time_point now);
    /// Records that the endpoint is cold for a time from now on and accepts this many requests per
    /// second from all entries meanwhile. Zero ends an earlier cold time. Returns whether the
    /// endpoint was not known to be cold.
    bool on_cold(const core::endpoint_id& endpoint, core::incarnation incarnation,
                 double per_second, std::chrono::milliseconds cold_for, core::time_point now);
    /// Records what a peer knows of a cold endpoint, which does not shorten a cold time.
    bool on_cold_report(const core::endpoint_id& endpoint, core::incarnation incarnation,
                        double per_second, std::chrono::milliseconds cold_for,
                        core::time_point now);
    /// Treats an endpoint as cold for a while that may have started again without being registered
    /// anew yet. Peers are not told of it. Does not shorten a cold time.
    void assume_cold(const core::endpoint_id& endpoint, core::incarnation incarnation,
                     double per_second, std::chrono::milliseconds cold_for, core::time_point now);
    /// Forgets what an earlier incarnation of a registered endpoint has said.
    void on_registered(const core::endpoint_id& endpoint, core::incarnation incarnation);
    /// Forgets the endpoints that have not been registered for a while.
    void retain(const std::set<core::endpoint_id>& registered, core::time_point now);
    /// Records the answer to a request for a permit. Returns whether a permit was expected.
    bool on_offer(const permit_offer& offer, core::time_point now);

    /// Requests per second that the endpoint accepts from all entries together, within the bounds
    /// min_request_limit and max_request_limit, or nullopt if it has named no limit.
    std::optional<double> request_limit(const core::endpoint_id& endpoint) const;
    /// Remaining time for which the endpoint is cold; zero if it is not.
    std::chrono::milliseconds cold_for(const core::endpoint_id& endpoint,
                                       core::time_point now) const;
    bool cold(const core::endpoint_id& endpoint, core::time_point now) const
    {
        return cold_for(endpoint, now).count() > 0;
    }
    /// Requests per second that the endpoint accepts now because of its limit or because it is
    /// cold.
    std::optional<double> accepted_rate(const core::endpoint_id& endpoint,
                                        core::time_point now) const;
    /// Number of endpoints that are cold.
    std::size_t cold_count(core::time_point now) const;
    bool leaving(const core::endpoint_id& endpoint) const;
    /// Whether the endpoint wants no requests, for now or ever.
    bool declines(const core::endpoint_id& endpoint, core::time_point now) const;
    /// Whether a request that started at this time may still be written to the endpoint. A request
    /// to a cold endpoint must have started with a permit a short time ago.
    bool may_send(const core::endpoint_id& endpoint, core::time_point started_at,
                  core::time_point now) const;
    /// What is known of the endpoint that concerns all entries, as a report to a peer.
    std::optional<reported_signal> report_of(const core::endpoint_id& endpoint,
                                             core::time_point now) const;
    /// What is known that concerns all entries, as a report to a peer, at most max_reported_signals
    /// of them.
    signal_report snapshot(core::time_point now) const;

    admission admission_of(const core::endpoint_id& endpoint, core::time_point now) const;
    /// Whether a request may be sent to the endpoint now.
    bool admits(const core::endpoint_id& endpoint, core::time_point now) const;
    /// Earliest time at which a request may be sent to the endpoint, as far as it is known.
    core::time_point earliest_admission(const core::endpoint_id& endpoint,
                                        core::time_point now) const;
    /// Uses the permit for a request to the endpoint if it needs one.
    void take_permit(const core::endpoint_id& endpoint);
    /// Requests a permit that starts within max_wait if the endpoint's admission is requestable or
    /// at_hand.
    /// The permit may be there when the call returns.
    void request_permit(const core::endpoint_id& endpoint, std::chrono::milliseconds max_wait,
                        core::time_point now);

    /// Asks the owner of the endpoint's permits for one. The answer is passed to on_offer.
    std::function<void(const permit_request&)> ask_for_permit = [](const permit_request&) {
    };
    /// Earliest time at which a permit of a cold endpoint is granted at once, as
    /// permit_broker::own_permit_at.
    std::function<core::time_point(const core::endpoint_id&, double per_second, core::time_point)>
        own_permit_at = [](const core::endpoint_id&, double, core::time_point) {
            return core::time_point::max();
        };

private:
    enum class permit_state { none, asked, granted, refused };
    struct endpoint_state {
        core::incarnation incarnation;
        std::optional<double> request_limit;
        core::time_point named_at;
        core::time_point said_at;
        bool leaving = false;
        core::time_point quiet_until;
        double cold_per_second = 0;
        core::time_point cold_since;
        core::time_point cold_until;
        /// The endpoint is not known to be cold, but may be.
        bool cold_assumed = false;
        permit_state permit = permit_state::none;
        /// Time of the question, start of the permit, or time at which to ask again.
        core::time_point permit_at;
        /// Number of the latest question.
        std::uint64_t asked_number = 0;

        bool cold(core::time_point now) const { return now < cold_until; }
        bool empty(core::time_point now) const
        {
            return !request_limit && !leaving && quiet_until <= now && !cold(now);
        }
        std::optional<double> accepted_rate(core::time_point now) const;
        admission permit_admission(core::time_point now) const;
    };
    static std::optional<reported_signal> report_of(const core::endpoint_id& endpoint,
                                                    const endpoint_state& s, core::time_point now);

    std::map<core::endpoint_id, endpoint_state> states_;
    std::uint64_t last_number_ = 0;
};

} // namespace currantpitch::backpressure
