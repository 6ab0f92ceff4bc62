#pragma once

#include "rankcontrol/rankstate.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace currantpitch::fakes {

/// Models the layouts of the engines of one group. Each engine accepts or refuses orders on its
/// own, without comparing layouts with other engines, and all engines begin a step together.
/// Records the first step that began with two layouts or without one of the experts.
class rank_group {
public:
    explicit rank_group(rankcontrol::layout_shape shape,
                        core::group_id name = core::group_id("group"));

    rankcontrol::order_result order(std::uint32_t rank, const rankcontrol::engine_order& order);
    rankcontrol::rank_state state(std::uint32_t rank) const;
    /// Returns the experts in memory of a rank by layer.
    const std::vector<std::vector<rankcontrol::expert>>& held_experts(std::uint32_t rank) const;
    /// Completes the load order in progress on a rank, if any.
    void finish_loading(std::uint32_t rank);
    /// Begins the next step unless it is held or the group is broken. Returns whether it began.
    bool begin_step();
    /// Crashes a rank. The group is broken until rebuild_group.
    void crash(std::uint32_t rank);
    /// Rebuilds the group in a new epoch with the initial layout.
    void rebuild_group();

    bool open() const { return open_; }
    std::size_t size() const { return engines_.size(); }
    core::step_number step() const { return step_; }
    /// Returns the number of layout switches.
    std::uint64_t switches() const { return switches_; }
    /// Describes the first step with an invalid layout. Empty if there was none.
    const std::string& violation() const { return violation_; }

private:
    struct engine {
        core::incarnation incarnation{1};
        core::map_version max_version;
        core::map_version active;
        /// Experts in memory by layer.
        std::vector<std::vector<rankcontrol::expert>> resident_experts;
        std::optional<core::map_version> loading;
        std::optional<core::map_version> loaded;
        rankcontrol::layout next;
        /// Active layout of all ranks as in the load order to this rank. Empty for the initial
        /// layout.
        rankcontrol::layout running;
        std::optional<rankcontrol::armed_layout> armed;
        std::optional<core::step_number> held_step;
    };

    rankcontrol::order_result load(std::uint32_t rank, engine& e,
                                   const rankcontrol::engine_order& order);
    void check_layouts();

    rankcontrol::layout_shape shape_;
    core::group_id name_;
    std::vector<engine> engines_;
    rankcontrol::group_epoch epoch_{1};
    core::step_number step_;
    bool open_ = true;
    std::uint64_t switches_ = 0;
    std::string violation_;
};

} // namespace currantpitch::fakes
