#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace currantpitch::core {

/// A name with a type of its own for each kind of object. Tag only distinguishes the kinds and
/// stays an incomplete type.
template <class Tag>
class name {
public:
    name() = default;
    explicit name(std::string value) : value_(std::move(value)) {}

    const std::string& str() const { return value_; }
    bool empty() const { return value_.empty(); }

    friend bool operator==(const name&, const name&) = default;
    friend std::strong_ordering operator<=>(const name&, const name&) = default;
    friend std::ostream& operator<<(std::ostream& out, const name& n) { return out << n.value_; }

private:
    std::string value_;
};

/// A number with a type of its own for each kind of quantity. Tag only distinguishes the kinds and
/// stays an incomplete type.
template <class Tag>
struct number {
    std::uint64_t value = 0;

    friend bool operator==(const number&, const number&) = default;
    friend std::strong_ordering operator<=>(const number&, const number&) = default;
    friend std::ostream& operator<<(std::ostream& out, const number& n) { return out << n.value; }

    number next() const { return number{value + 1}; }
};

using host_id = name<struct host_tag>;
using failure_domain_id = name<struct failure_domain_tag>;
using workspace_id = name<struct workspace_tag>;
using endpoint_id = name<struct endpoint_tag>;
/// A model group or a plain service; both can serve a workspace.
using service_id = name<struct service_tag>;
/// A group of ranks that execute each step together. Unique within its service.
using group_id = name<struct group_tag>;

/// A part of a prompt that several requests may share.
using prompt_part_id = name<struct prompt_part_tag>;

/// Random number generated when a process starts. Distinguishes successive processes of one host.
using incarnation = number<struct incarnation_tag>;
/// Number of a session between two processes; increases with each reconnection.
using epoch = number<struct epoch_tag>;
/// Number of an attempt, unique within one entry incarnation; never reused.
using attempt_number = number<struct attempt_tag>;
/// Fencing token of a group's leadership.
using fence = number<struct fence_tag>;
/// Version of an expert map.
using map_version = number<struct map_version_tag>;
/// Index of a step that the ranks of a model group execute in lockstep.
using step_number = number<struct step_tag>;
/// Number of times that the platform's store has been restored from an older copy of its objects.
using store_era = number<struct store_era_tag>;
/// Version of an object in the platform's store. Increases monotonically across the whole store
/// within an era; the store gives out the same numbers again after it was restored.
struct revision {
    std::uint64_t value = 0;
    store_era era{};

    friend bool operator==(const revision&, const revision&) = default;
    friend std::strong_ordering operator<=>(const revision& a, const revision& b)
    {
        const std::strong_ordering by_era = a.era <=> b.era;
        return by_era != 0 ? by_era : a.value <=> b.value;
    }
    friend std::ostream& operator<<(std::ostream& out, const revision& r)
    {
        return r.era.value == 0 ? out << r.value : out << r.era << ':' << r.value;
    }
    revision next() const { return revision{value + 1, era}; }
};

} // namespace currantpitch::core

template <class Tag>
struct std::hash<currantpitch::core::name<Tag>> {
    std::size_t operator()(const currantpitch::core::name<Tag>& n) const noexcept
    {
        return std::hash<std::string>()(n.str());
    }
};

template <class Tag>
struct std::hash<currantpitch::core::number<Tag>> {
    std::size_t operator()(const currantpitch::core::number<Tag>& n) const noexcept
    {
        return std::hash<std::uint64_t>()(n.value);
    }
};
