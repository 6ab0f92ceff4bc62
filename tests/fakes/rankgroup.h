#pragma once

#include "rankcontrol/rankstate.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace currantpitch::fakes {

/// The engines of one group as far as layouts go: each takes orders by its own rules, none compares
/// layouts, and all begin a step together. Remembers the first step that began with two layouts.
class rank_group {
public:
    explicit rank_group(rankcontrol::layout_shape shape);

    rankcontrol::order_result order(std::uint32_t rank, const rankcontrol::engine_order& order);
    rankcontrol::rank_state state(std::uint32_t rank) const;
    const std::vector<std::vector<rankcontrol::expert>>& held(std::uint32_t rank) const;
    /// Completes a copy that is under way.
    void finish_loading(std::uint32_t rank);
    /// Begins the next step, unless it is held or a rank is missing. True when it began.
    bool begin_step();
    /// A rank crashes: the group is broken until rebuild_group.
    void crash(std::uint32_t rank);
    /// Rebuilds the group in a new epoch with the first layout.
    void rebuild_group();

    bool open() const { return open_; }
    std::size_t size() const { return engines_.size(); }
    core::step_number step() const { return step_; }
    std::uint64_t switches() const { return switches_; }
    /// Empty while every step had one layout.
    const std::string& violation() const { return violation_; }

private:
    struct engine {
        core::incarnation incarnation{1};
        core::map_version highest;
        core::map_version active;
        std::vector<std::vector<rankcontrol::expert>> held;
        std::optional<core::map_version> copying;
        std::optional<core::map_version> loaded;
        rankcontrol::layout next;
        /// The whole layout that runs, as this rank was told it; empty for the first one.
        rankcontrol::layout running;
        std::optional<rankcontrol::armed_layout> armed;
        std::optional<core::step_number> hold;
    };

    rankcontrol::order_result load(std::uint32_t rank, engine& e,
                                   const rankcontrol::engine_order& order);
    void check_layouts();

    rankcontrol::layout_shape shape_;
    std::vector<engine> engines_;
    rankcontrol::group_epoch epoch_{1};
    core::step_number step_;
    bool open_ = true;
    std::uint64_t switches_ = 0;
    std::string violation_;
};

} // namespace currantpitch::fakes
