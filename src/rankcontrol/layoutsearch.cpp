#include "rankcontrol/layoutsearch.h"

#include <algorithm>
#include <numeric>
#include <optional>

namespace currantpitch::rankcontrol {

namespace {

/// Number of ranks that are considered as targets of a move; the least loaded ones.
constexpr std::size_t max_targets = 8;
/// Gain of a move, as a fraction of the busiest rank's load, below which the search ends.
constexpr double min_move_gain = 0.002;

double slowness_of(const std::vector<double>& slowness, std::size_t rank)
{
    return slowness.empty() ? 1.0 : slowness[rank];
}

} // namespace

/// Local search in one layer: the holders of each expert and the load of each rank.
class layout_search::layer_search {
public:
    /// The budget is the number of experts that each rank may still copy, over all layers.
    layer_search(const layer_layout& current, const std::vector<double>& shares,
                 const std::vector<double>& slowness, const layout_shape& shape,
                 std::vector<std::size_t>& budget)
        : initial_(current), layer_(current), shares_(shares), slowness_(slowness), shape_(shape),
          budget_(budget), holders_(shape.experts), loads_(current.size()),
          new_experts_(current.size())
    {
        for (std::size_t r = 0; r < layer_.size(); ++r) {
            for (const expert e : layer_[r]) {
                holders_[e].push_back(r);
            }
        }
        for (std::size_t r = 0; r < layer_.size(); ++r) {
            for (const expert e : layer_[r]) {
                loads_[r] += share_per_copy(e) * slowness_of(slowness_, r);
            }
        }
        update_busiest();
    }

    /// Makes the best move at the busiest rank. Returns false when no move gains enough.
    bool improve()
    {
        const std::size_t busiest = busiest_;
        std::optional<move> best;
        for (const std::size_t target : least_loaded()) {
            for (const expert e : layer_[busiest]) {
                if (target != busiest && !holds(target, e)) {
                    consider_target(busiest, e, target, best);
                }
            }
        }
        if (!best || best->max_load > loads_[busiest] * (1 - min_move_gain)) {
            return false;
        }
        apply(busiest, *best);
        update_busiest();
        return true;
    }

    double busiest_load() const { return loads_[busiest_]; }
    const layer_layout& result() const { return layer_; }

private:
    /// A change that relieves the busiest rank: one of its experts is copied to the target and
    /// takes the slot of the victim, if there is one. In a swap, the victim moves to the busiest
    /// rank and the copied expert leaves that rank. A victim that has no other copy can only be
    /// swapped.
    struct move {
        std::size_t target = 0;
        expert copied = 0;
        std::optional<expert> victim;
        bool is_swap = false;
        double max_load = 0;
    };

    void update_busiest()
    {
        busiest_ = static_cast<std::size_t>(std::max_element(loads_.begin(), loads_.end()) -
                                            loads_.begin());
    }
    double share_per_copy(expert e) const
    {
        return shares_[e] / static_cast<double>(std::max<std::size_t>(holders_[e].size(), 1));
    }
    bool holds(std::size_t rank, expert e) const
    {
        return std::find(layer_[rank].begin(), layer_[rank].end(), e) != layer_[rank].end();
    }
    bool is_new(std::size_t rank, expert e) const
    {
        return std::find(initial_[rank].begin(), initial_[rank].end(), e) == initial_[rank].end();
    }
    bool can_accept(std::size_t rank, expert e, std::optional<expert> leaving) const
    {
        const std::size_t freed = leaving && is_new(rank, *leaving) ? 1 : 0;
        return !is_new(rank, e) ||
               (new_experts_[rank] - freed < shape_.new_per_rank && budget_[rank] + freed > 0);
    }

    /// Largest load among the two ranks and the other holders of the victim after the move.
    double max_load_after(std::size_t busiest, const move& m) const
    {
        const double copies = static_cast<double>(holders_[m.copied].size());
        const double busiest_slowness = slowness_of(slowness_, busiest);
        const double target_slowness = slowness_of(slowness_, m.target);
        if (m.is_swap) {
            const double change = shares_[m.copied] / copies - share_per_copy(*m.victim);
            return std::max(loads_[busiest] - change * busiest_slowness,
                            loads_[m.target] + change * target_slowness);
        }
        const double removed_load =
            (shares_[m.copied] / copies - shares_[m.copied] / (copies + 1)) * busiest_slowness;
        double target_load = loads_[m.target] + shares_[m.copied] / (copies + 1) * target_slowness;
        double max_load = loads_[busiest] - removed_load;
        if (m.victim) {
            const double others = static_cast<double>(holders_[*m.victim].size());
            target_load -= shares_[*m.victim] / others * target_slowness;
            const double added_load =
                shares_[*m.victim] / (others - 1) - shares_[*m.victim] / others;
            for (const std::size_t holder : holders_[*m.victim]) {
                if (holder != m.target) {
                    const double load =
                        holder == busiest ? loads_[holder] - removed_load : loads_[holder];
                    max_load =
                        std::max(max_load, load + added_load * slowness_of(slowness_, holder));
                }
            }
        }
        return std::max(max_load, target_load);
    }

    void consider(std::size_t busiest, move m, std::optional<move>& best) const
    {
        m.max_load = max_load_after(busiest, m);
        if (!best || m.max_load < best->max_load) {
            best = m;
        }
    }

    void consider_target(std::size_t busiest, expert e, std::size_t target,
                         std::optional<move>& best) const
    {
        if (layer_[target].size() < shape_.expert_slots_per_rank &&
            can_accept(target, e, std::nullopt)) {
            consider(busiest, move{target, e, std::nullopt, false, 0}, best);
        }
        for (const expert victim : layer_[target]) {
            if (!can_accept(target, e, victim)) {
                continue;
            }
            if (holders_[victim].size() > 1) {
                consider(busiest, move{target, e, victim, false, 0}, best);
            }
            if (!holds(busiest, victim) && can_accept(busiest, victim, e)) {
                consider(busiest, move{target, e, victim, true, 0}, best);
            }
        }
    }

    std::vector<std::size_t> least_loaded() const
    {
        std::vector<std::size_t> targets(layer_.size());
        std::iota(targets.begin(), targets.end(), std::size_t{0});
        const std::size_t target_count = std::min(max_targets, targets.size());
        std::partial_sort(targets.begin(), targets.begin() + static_cast<long>(target_count),
                          targets.end(),
                          [this](std::size_t a, std::size_t b) { return loads_[a] < loads_[b]; });
        targets.resize(target_count);
        return targets;
    }

    void remove(std::size_t rank, expert e)
    {
        for (const std::size_t holder : holders_[e]) {
            loads_[holder] -= share_per_copy(e) * slowness_of(slowness_, holder);
        }
        std::erase(holders_[e], rank);
        std::erase(layer_[rank], e);
        for (const std::size_t holder : holders_[e]) {
            loads_[holder] += share_per_copy(e) * slowness_of(slowness_, holder);
        }
        if (is_new(rank, e)) {
            --new_experts_[rank];
            ++budget_[rank];
        }
    }

    void add(std::size_t rank, expert e)
    {
        for (const std::size_t holder : holders_[e]) {
            loads_[holder] -= share_per_copy(e) * slowness_of(slowness_, holder);
        }
        holders_[e].push_back(rank);
        layer_[rank].push_back(e);
        for (const std::size_t holder : holders_[e]) {
            loads_[holder] += share_per_copy(e) * slowness_of(slowness_, holder);
        }
        if (is_new(rank, e)) {
            ++new_experts_[rank];
            --budget_[rank];
        }
    }

    void apply(std::size_t busiest, const move& m)
    {
        if (m.victim) {
            remove(m.target, *m.victim);
        }
        if (m.is_swap) {
            remove(busiest, m.copied);
            add(busiest, *m.victim);
        }
        add(m.target, m.copied);
    }

    const layer_layout& initial_;
    layer_layout layer_;
    const std::vector<double>& shares_;
    const std::vector<double>& slowness_;
    const layout_shape& shape_;
    std::vector<std::size_t>& budget_;
    std::vector<std::vector<std::size_t>> holders_;
    std::vector<double> loads_;
    std::vector<std::size_t> new_experts_;
    std::size_t busiest_ = 0;
};

layout_search::layout_search(layout current, expert_counts shares, std::vector<double> slowness,
                             const layout_shape& shape)
    : initial_(std::move(current)), shares_(std::move(shares)), slowness_(std::move(slowness)),
      shape_(shape), budget_(shape.ranks)
{
    for (std::size_t layer = 0; layer < initial_.size(); ++layer) {
        layers_.push_back(std::make_unique<layer_search>(initial_[layer], shares_[layer], slowness_,
                                                         shape_, budget_));
    }
}

layout_search::~layout_search() = default;

void layout_search::add_budget(std::size_t copies_per_rank)
{
    for (std::size_t& b : budget_) {
        b += copies_per_rank;
    }
    finished_.assign(layers_.size(), false);
    // Each move lowers the load of a busiest rank. The bound guards against endless swaps.
    moves_left_ = 4 * shape_.ranks * std::max<std::size_t>(copies_per_rank, 1);
}

bool layout_search::step()
{
    while (moves_left_ > 0) {
        --moves_left_;
        std::optional<std::size_t> worst_layer;
        for (std::size_t layer = 0; layer < layers_.size(); ++layer) {
            const bool is_busier = !worst_layer || layers_[layer]->busiest_load() >
                                                       layers_[*worst_layer]->busiest_load();
            if (!finished_[layer] && is_busier) {
                worst_layer = layer;
            }
        }
        if (!worst_layer) {
            return false;
        }
        if (layers_[*worst_layer]->improve()) {
            return true;
        }
        finished_[*worst_layer] = true;
    }
    return false;
}

layout layout_search::result() const
{
    layout all;
    for (const std::unique_ptr<layer_search>& layer : layers_) {
        all.push_back(layer->result());
    }
    return all;
}

} // namespace currantpitch::rankcontrol
