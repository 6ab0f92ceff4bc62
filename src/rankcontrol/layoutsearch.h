#pragma once

#include "rankcontrol/rankstate.h"

#include <memory>
#include <vector>

namespace currantpitch::rankcontrol {

/// Local search over all layers of a layout by moves of single copies. Each move relieves the
/// busiest rank of the layer whose busiest rank has the highest load. The number of copies that a
/// rank may make can be raised gradually, so that one search returns a layout for each limit.
class layout_search {
public:
    /// An empty slowness list stands for 1 on every rank.
    layout_search(layout current, expert_counts shares, std::vector<double> slowness,
                  const layout_shape& shape);
    layout_search(const layout_search&) = delete;
    layout_search& operator=(const layout_search&) = delete;
    ~layout_search();

    /// Allows additional new experts on each rank, over all layers.
    void add_budget(std::size_t copies_per_rank);
    /// Makes the next move. Returns false when no move is left within the budget.
    bool step();
    layout result() const;

private:
    class layer_search;

    layout initial_;
    expert_counts shares_;
    std::vector<double> slowness_;
    layout_shape shape_;
    std::vector<std::size_t> budget_;
    std::vector<std::unique_ptr<layer_search>> layers_;
    std::vector<bool> finished_;
    std::size_t moves_left_ = 0;
};

} // namespace currantpitch::rankcontrol
