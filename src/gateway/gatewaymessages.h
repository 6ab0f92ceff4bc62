#pragma once

#include "routes/routetable.h"

#include <cstdint>
#include <string>

namespace currantpitch::gateway {

/// Message types 128 to 143 are reserved for gateways.
enum message_number : std::uint8_t {
    configuration_notice_type = 128,
    configuration_copy_type = 129,
};

/// Version of the configuration that the sender has in force; zero if it has none.
struct configuration_notice {
    static constexpr std::uint8_t type = configuration_notice_type;
    routes::configuration_version version;
};
template <class Archive>
void describe(Archive& archive, configuration_notice& m)
{
    archive(m.version);
}

/// The configuration that the sender has in force, as the operator wrote it.
struct configuration_copy {
    static constexpr std::uint8_t type = configuration_copy_type;
    std::string text;
};
template <class Archive>
void describe(Archive& archive, configuration_copy& m)
{
    archive(m.text);
}

} // namespace currantpitch::gateway
