#include "sessions/attemptbook.h"

namespace currantpitch::sessions {

core::epoch attempt_book::begin_session()
{
    epoch_ = epoch_.next();
    return epoch_;
}

std::vector<verdict> attempt_book::on_ack(const hello_ack& ack)
{
    std::map<core::attempt_number, std::optional<work_end>> reported;
    for (const attempt_report& report : ack.started) {
        reported[report.number] = report.end;
    }
    agent_ = ack.incarnation;
    std::vector<verdict> conclusions;
    for (std::pair<const core::attempt_number, sent_in>& entry : open_) {
        if (entry.second.epoch >= epoch_) {
            continue;
        }
        verdict v{entry.first, verdict_kind::lost, std::nullopt};
        const auto found = reported.find(entry.first);
        if (entry.second.agent != ack.incarnation) {
            v.kind = verdict_kind::lost;
        }
        else if (found == reported.end()) {
            v.kind = verdict_kind::never_started;
        }
        else {
            v.kind = found->second ? verdict_kind::ended : verdict_kind::fenced;
            v.end = found->second;
        }
        if (!entry.second.concluded || v.kind != verdict_kind::fenced) {
            conclusions.push_back(std::move(v));
        }
        entry.second.concluded = true;
    }
    return conclusions;
}

core::attempt_number attempt_book::next_attempt()
{
    last_number_ = last_number_.next();
    open_[last_number_] = sent_in{epoch_, agent_, false};
    return last_number_;
}

void attempt_book::settle(core::attempt_number number)
{
    if (open_.erase(number) != 0) {
        settled_.push_back(number);
    }
}

core::attempt_number attempt_book::settled_below() const
{
    return open_.empty() ? last_number_.next() : open_.begin()->first;
}

std::vector<core::attempt_number> attempt_book::take_settled()
{
    return std::exchange(settled_, {});
}

} // namespace currantpitch::sessions
