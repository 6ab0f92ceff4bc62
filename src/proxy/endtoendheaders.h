#pragma once

#include "http/httpmessage.h"

#include <vector>

namespace currantpitch::proxy {

/// Returns the end-to-end headers, that is all but the hop-by-hop headers. The content type is left
/// out too, as messages have a field of their own for it.
std::vector<http::header> end_to_end_headers(const std::vector<http::header>& headers);

} // namespace currantpitch::proxy
