#include "core/error.h"

namespace currantpitch::core {

std::string_view to_string(errc code)
{
    switch (code) {
    case errc::invalid_argument:
        return "invalid_argument";
    case errc::not_found:
        return "not_found";
    case errc::conflict:
        return "conflict";
    case errc::unavailable:
        return "unavailable";
    case errc::timeout:
        return "timeout";
    case errc::closed:
        return "closed";
    case errc::malformed:
        return "malformed";
    case errc::too_large:
        return "too_large";
    case errc::refused:
        return "refused";
    case errc::stale:
        return "stale";
    case errc::reserved:
        return "reserved";
    case errc::limited:
        return "limited";
    case errc::crashed:
        return "crashed";
    }
    return "unknown_error";
}

} // namespace currantpitch::core
