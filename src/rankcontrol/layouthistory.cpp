#include "rankcontrol/layouthistory.h"

namespace currantpitch::rankcontrol {

void layout_history::add(core::map_version version, std::shared_ptr<const layout> experts)
{
    layouts_[version] = std::move(experts);
    while (layouts_.size() > max_layouts) {
        layouts_.erase(layouts_.begin());
    }
}

std::shared_ptr<const layout> layout_history::find(core::map_version version,
                                                   const layout_shape& shape) const
{
    if (version.value == 0) {
        return std::make_shared<const layout>(initial_layout(shape));
    }
    const auto found = layouts_.find(version);
    return found == layouts_.end() ? nullptr : found->second;
}

} // namespace currantpitch::rankcontrol
