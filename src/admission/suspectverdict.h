#pragma once

namespace currantpitch::admission {

/// What to do with a request that may be suspected of crashing endpoints.
enum class suspect_verdict {
    admit,  ///< not suspected, or too little is known of what is to blame
    probe,  ///< suspected, and held back long enough for one request to find out
    refuse, ///< suspected of crashing the endpoint that would run it
};

} // namespace currantpitch::admission
