#pragma once

#include "objectstore/storeclient.h"

#include <string>
#include <string_view>

namespace currantpitch::objectstore {

/// Encodes as JSON in the format of the store's HTTP interface.
std::string to_json(const object& o);
std::string to_json(const listing& l);
std::string to_json(const watch_event& e);

/// Decodes the same format. errc::malformed when a field is missing or has the wrong type.
core::result<object> object_from_json(std::string_view text);
core::result<listing> listing_from_json(std::string_view text);
core::result<watch_event> event_from_json(std::string_view text);

} // namespace currantpitch::objectstore
