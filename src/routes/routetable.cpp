#include "routes/routetable.h"

#include <algorithm>
#include <cctype>

namespace currantpitch::routes {

namespace {

std::string to_lower_case(std::string_view text)
{
    std::string out(text);
    std::transform(out.begin(), out.end(), out.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return out;
}

} // namespace

std::string_view to_string(retry_policy r)
{
    switch (r) {
    case retry_policy::idempotent:
        return "idempotent";
    case retry_policy::at_most_once:
        return "at_most_once";
    case retry_policy::resumable_stream:
        return "resumable_stream";
    case retry_policy::one_shot_stream:
        break;
    }
    return "one_shot_stream";
}

std::string_view to_string(access a)
{
    switch (a) {
    case access::open:
        return "open";
    case access::keys:
        return "keys";
    case access::closed:
        break;
    }
    return "closed";
}

std::optional<std::chrono::milliseconds>
configuration::target_gap_of(const core::service_id& service) const
{
    std::optional<std::chrono::milliseconds> min_gap;
    for (const route& r : routes) {
        const bool serves =
            std::any_of(r.services.begin(), r.services.end(),
                        [&service](const weighted_service& s) { return s.service == service; });
        if (serves && is_stream(r.retry)) {
            min_gap = std::min(min_gap.value_or(r.target_gap), r.target_gap);
        }
    }
    return min_gap;
}

route_table::route_table(configuration accepted) : accepted_(std::move(accepted))
{
    std::unordered_map<core::service_id, int> first_priority;
    for (const route& r : accepted_.routes) {
        by_host_[to_lower_case(r.host)].emplace(r.path_prefix, &r);
        for (const weighted_service& s : r.services) {
            if (first_priority.emplace(s.service, r.priority).first->second != r.priority) {
                mixed_priorities_.insert(s.service);
            }
        }
    }
    if (accepted_.workspaces) {
        for (const workspace& w : *accepted_.workspaces) {
            for (const std::string& key : w.keys) {
                by_key_.emplace(key, &w);
            }
        }
    }
    for (const service_profile& s : accepted_.services) {
        by_service_.emplace(s.service, &s);
    }
}

const route* route_table::match(std::string_view host, std::string_view path) const
{
    const auto routes = by_host_.find(to_lower_case(host.substr(0, host.find(':'))));
    if (routes == by_host_.end()) {
        return nullptr;
    }
    // Route prefixes end with a slash, so only prefixes of the path that end with a slash can
    // match.
    for (std::size_t end = path.rfind('/'); end != std::string_view::npos;
         end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
        const auto found = routes->second.find(path.substr(0, end + 1));
        if (found != routes->second.end()) {
            return found->second;
        }
    }
    return nullptr;
}

access route_table::access_to_routes() const
{
    if (!accepted_.workspaces) {
        return access::open;
    }
    return by_key_.empty() ? access::closed : access::keys;
}

const workspace* route_table::workspace_of_key(const std::string& key) const
{
    const auto found = by_key_.find(key);
    return found == by_key_.end() ? nullptr : found->second;
}

const service_profile* route_table::find_service(const core::service_id& service) const
{
    const auto found = by_service_.find(service);
    return found == by_service_.end() ? nullptr : found->second;
}

const core::service_id* choose_service(const route& r, double sample)
{
    double total = 0;
    for (const weighted_service& s : r.services) {
        total += s.weight;
    }
    double remaining_weight = sample * total;
    for (const weighted_service& s : r.services) {
        remaining_weight -= s.weight;
        if (remaining_weight < 0) {
            return &s.service;
        }
    }
    return r.services.empty() ? nullptr : &r.services.back().service;
}

} // namespace currantpitch::routes
