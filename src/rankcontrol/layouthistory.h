#pragma once

#include "rankcontrol/rankstate.h"

#include <map>
#include <memory>

namespace currantpitch::rankcontrol {

/// The latest layouts of an agent's group by their versions, as they were ordered. Most load orders
/// need only the differences to one of them: complete layouts for all members of a large group
/// would occupy the link of the leader's host for longer than its heartbeats may be late.
class layout_history {
public:
    void add(core::map_version version, std::shared_ptr<const layout> experts);
    /// Forgets all layouts, since another group uses the same versions for others.
    void clear() { layouts_.clear(); }
    /// The layout of the version, or null when it is not known. Version zero is the layout that a
    /// group of this shape starts with.
    std::shared_ptr<const layout> find(core::map_version version, const layout_shape& shape) const;

private:
    /// Number of layouts that are kept; the latest ones.
    static constexpr std::size_t max_layouts = 12;

    std::map<core::map_version, std::shared_ptr<const layout>> layouts_;
};

} // namespace currantpitch::rankcontrol
