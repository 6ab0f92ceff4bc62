#include "routing/streamprogress.h"

namespace currantpitch::routing {

token_verdict stream_progress::on_token(std::uint64_t offset, std::string_view text)
{
    if (offset < delivered_) {
        return token_verdict::duplicate;
    }
    if (offset > delivered_) {
        return token_verdict::gap;
    }
    ++delivered_;
    checksum_.add(text);
    return token_verdict::deliver;
}

} // namespace currantpitch::routing
