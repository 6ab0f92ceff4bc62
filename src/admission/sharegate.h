#pragma once

#include "admission/admissionconstants.h"
#include "core/identifiers.h"
#include "core/runtimeclock.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace currantpitch::admission {

/// Identifies a waiting request.
using ticket = core::number<struct ticket_tag>;

enum class admission_kind {
    guaranteed, ///< admitted within the workspace's fair share
    borrowed,   ///< admitted beyond the fair share, because unused capacity is available
    waiting,    ///< queued; the ticket is granted or expires later
    refused,    ///< cannot be served in time; never ran
};
std::string_view to_string(admission_kind kind);

/// Result of an admission request.
struct admission_decision {
    admission_kind kind = admission_kind::refused;
    ticket number;
    /// For refusals: time after which another attempt may be admitted.
    std::chrono::milliseconds retry_after{};
    /// For refusals: the reason, as written to logs and sent to the caller.
    std::string_view reason;
};

/// A waiting request that may start now.
struct grant {
    ticket number;
    core::workspace_id workspace;
    admission_kind kind = admission_kind::guaranteed;
};

/// Demand of one workspace at a peer entry.
struct peer_demand {
    core::host_id peer;
    core::workspace_id workspace;
    /// Number of requests running and waiting at the peer.
    double demand = 0;
};

/// Divides the slots of one service among workspaces at one entry. Each active workspace gets a
/// part of the capacity proportional to its share. That part is split between the entries that
/// serve the workspace in proportion to their demand. Unused capacity may be borrowed up to a
/// limit. Waiting requests within a fair share start before those that borrow, and otherwise
/// requests of the workspace with the fewest used slots relative to its share start first.
class share_gate {
public:
    /// Sets a workspace's share, the number of entries that serve it and the maximum number of
    /// slots that it uses here. A maximum of 0 means no limit.
    void set_workspace(const core::workspace_id& workspace, double share, std::size_t entries,
                       std::uint32_t max_in_use);
    void remove_workspace(const core::workspace_id& workspace);

    /// Sets the number of slots of the service and how many of them are used by requests of other
    /// entries.
    void set_capacity(double slots, double used_by_peers);
    void on_peer_demand(const peer_demand& report, core::time_point now);

    /// Admits, queues or refuses a request that must start within the time left.
    admission_decision request(const core::workspace_id& workspace, int priority,
                               core::duration time_left, core::time_point now);
    /// Ends an admitted request that ran for the given time.
    void release(const core::workspace_id& workspace, core::duration service_time);
    /// Ends an admitted request that did not run. The mean service time stays unchanged.
    void release_unused(const core::workspace_id& workspace);
    /// Removes a waiting request from its queue.
    void withdraw(ticket number);

    /// Returns the waiting requests that may start now. They count as admitted from here on.
    std::vector<grant> take_grants(core::time_point now);
    /// Removes and returns the waiting requests whose deadline has passed.
    std::vector<ticket> take_expired(core::time_point now);

    /// Returns the number of requests running and waiting here for each workspace that has any, to
    /// be sent to the peers.
    std::vector<peer_demand> demands(const core::host_id& self) const;
    /// Returns the number of slots that the workspace may use here without borrowing.
    double fair_share(const core::workspace_id& workspace, core::time_point now);
    std::size_t waiting() const { return waiting_count_; }
    std::uint32_t in_use() const { return in_use_; }

private:
    struct waiting_request {
        ticket number;
        core::time_point deadline;
    };
    struct received_demand {
        double demand = 0;
        core::time_point at;
    };
    struct workspace_state {
        core::workspace_id id;
        double share = 1;
        std::size_t entries = 1;
        std::uint32_t max_in_use = 0;
        std::uint32_t in_use = 0;
        std::size_t waiting = 0;
        bool counted_active = false;
        /// Highest priority first.
        std::map<int, std::deque<waiting_request>, std::greater<>> queues;
        std::unordered_map<core::host_id, received_demand> demand_by_peer;
    };

    workspace_state& find_or_create(const core::workspace_id& workspace);
    bool active(const workspace_state& w) const;
    void update_activity(workspace_state& w);
    /// Fraction of the workspace's capacity that this entry may use, by local and peer demand.
    double local_fraction(workspace_state& w, core::time_point now);
    double fair_share(workspace_state& w, core::time_point now);
    bool has_capacity(double capacity_fraction) const;
    bool below_limit(const workspace_state& w) const;
    /// Kind of admission that a request gets now, or nullopt when it has to wait.
    std::optional<admission_kind> immediate_admission(workspace_state& w, core::time_point now);
    core::duration expected_wait(workspace_state& w, core::time_point now);
    void admit(workspace_state& w);

    std::unordered_map<core::workspace_id, workspace_state> workspaces_;
    std::set<core::workspace_id> workspaces_with_waiting_;
    std::unordered_map<ticket, core::workspace_id> tickets_;
    std::set<std::pair<core::time_point, ticket>> deadlines_;
    double capacity_ = 0;
    double used_by_peers_ = 0;
    double total_active_share_ = 0;
    std::uint32_t in_use_ = 0;
    std::size_t waiting_count_ = 0;
    ticket last_ticket_;
    core::duration service_time_ = initial_service_time;
};

} // namespace currantpitch::admission
