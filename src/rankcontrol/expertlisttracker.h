#pragma once

#include "rankcontrol/rankstate.h"

#include <optional>
#include <tuple>
#include <utility>

namespace currantpitch::rankcontrol {

/// Decides when a member sends the list of its experts to a candidate: once for each layout and
/// term. It is sent again in a new term because a candidate ignores lists that it receives before
/// it leads, for example after a restart.
class expert_list_tracker {
public:
    using layout_id = std::optional<std::pair<group_epoch, core::map_version>>;

    /// Whether the list of that layout must be sent to the leader of that term.
    bool due(term promised, const layout_id& id) const
    {
        return id && last_sent_ != std::tuple(promised, id->first, id->second);
    }
    void on_sent(term promised, const layout_id& id)
    {
        last_sent_ = std::tuple(promised, id->first, id->second);
    }

private:
    std::optional<std::tuple<term, group_epoch, core::map_version>> last_sent_;
};

} // namespace currantpitch::rankcontrol
