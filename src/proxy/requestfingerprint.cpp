#include "proxy/requestfingerprint.h"

#include "core/hashing.h"

namespace currantpitch::proxy {

admission::fingerprint fingerprint_of(const caller_request& request,
                                      const routes::workspace* workspace)
{
    std::string text;
    for (const std::string& field :
         {workspace == nullptr ? std::string() : workspace->name.str(), request.host,
          request.message.method, request.message.target}) {
        text += std::to_string(field.size()) + ":" + field;
    }
    return admission::fingerprint(core::digest(text + request.message.body));
}

} // namespace currantpitch::proxy
