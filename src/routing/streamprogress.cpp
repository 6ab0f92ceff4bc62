#include "routing/streamprogress.h"

namespace currantpitch::routing {

token_decision stream_progress::on_token(std::uint64_t offset, std::string_view text)
{
    if (offset < delivered_) {
        return token_decision::duplicate;
    }
    if (offset > delivered_) {
        return token_decision::gap;
    }
    ++delivered_;
    checksum_.add(text);
    return token_decision::deliver;
}

} // namespace currantpitch::routing
