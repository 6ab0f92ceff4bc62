#pragma once

#include "core/error.h"
#include "objectstore/storeclient.h"
#include "rankcontrol/rankstate.h"

#include <boost/asio/ip/address.hpp>

#include <string_view>

namespace currantpitch::rankcontrol {

/// Kind of the objects in which agents register their groups, named by the host.
inline constexpr std::string_view member_kind = "RankMember";

/// Group of the engine on one host.
struct member_registration {
    group_key group;
    boost::asio::ip::address address;

    friend bool operator==(const member_registration&, const member_registration&) = default;
};

/// Encodes a registration as the body of its object.
std::string encode_registration(const member_registration& r);
/// Decodes the body of a registration. errc::malformed when a field is missing or invalid.
core::result<member_registration> decode_registration(const std::string& body);

} // namespace currantpitch::rankcontrol
