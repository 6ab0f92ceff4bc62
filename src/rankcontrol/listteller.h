#pragma once

#include "rankcontrol/rankstate.h"

#include <optional>
#include <tuple>
#include <utility>

namespace currantpitch::rankcontrol {

/// Decides when a member tells a candidate the list of its experts: once for each layout under each
/// leadership. A candidate that was told before it leads, as one that has just started again, does
/// not take the list in.
class list_teller {
public:
    using listed_layout = std::optional<std::pair<group_epoch, core::map_version>>;

    /// Whether the list is due to the leader of that term.
    bool due(term promised, const listed_layout& listed) const
    {
        return listed && told_ != std::tuple(promised, listed->first, listed->second);
    }
    void on_told(term promised, const listed_layout& listed)
    {
        told_ = std::tuple(promised, listed->first, listed->second);
    }

private:
    std::optional<std::tuple<term, group_epoch, core::map_version>> told_;
};

} // namespace currantpitch::rankcontrol
