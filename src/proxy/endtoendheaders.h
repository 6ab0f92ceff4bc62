#pragma once

#include "http/httpmessage.h"

#include <vector>

namespace currantpitch::proxy {

/// Headers that concern more than one connection, without the content type, which messages carry
/// on their own.
std::vector<http::header> end_to_end_headers(const std::vector<http::header>& headers);

} // namespace currantpitch::proxy
