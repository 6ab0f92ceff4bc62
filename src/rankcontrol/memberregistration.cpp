#include "rankcontrol/memberregistration.h"

#include <boost/json.hpp>

namespace currantpitch::rankcontrol {

namespace json = boost::json;

namespace {

std::string text_field(const json::object& o, std::string_view field)
{
    const json::value* const v = o.if_contains(field);
    return v != nullptr && v->is_string() ? std::string(v->get_string()) : std::string();
}

} // namespace

std::string encode_registration(const member_registration& r)
{
    json::object o;
    o["service"] = r.group.service.str();
    o["group"] = r.group.group.str();
    o["address"] = r.address.to_string();
    return json::serialize(o);
}

core::result<member_registration> decode_registration(const std::string& body)
{
    boost::system::error_code failure;
    const json::value v = json::parse(body, failure);
    if (failure || !v.is_object()) {
        return core::error{core::errc::malformed, "the registration is not a JSON object"};
    }
    const json::object& o = v.get_object();
    member_registration r;
    r.group = {core::service_id(text_field(o, "service")), core::group_id(text_field(o, "group"))};
    r.address = boost::asio::ip::make_address(text_field(o, "address"), failure);
    if (failure || r.group.service.empty() || r.group.group.empty()) {
        return core::error{core::errc::malformed, "service, group or address is missing"};
    }
    return r;
}

} // namespace currantpitch::rankcontrol
