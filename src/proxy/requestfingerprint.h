#pragma once

#include "admission/crashtracker.h"
#include "proxy/proxymessages.h"
#include "routes/routetable.h"

namespace currantpitch::proxy {

/// Digest of what a request has in common with its repeats: the workspace, the method, the target
/// and the body, but not the id, which every attempt of the caller has anew. The workspace is null
/// for an anonymous request.
admission::fingerprint fingerprint_of(const caller_request& request,
                                      const routes::workspace* workspace);

} // namespace currantpitch::proxy
