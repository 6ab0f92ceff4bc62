#include "sessions/attempttracker.h"

namespace currantpitch::sessions {

core::epoch attempt_tracker::begin_session()
{
    epoch_ = epoch_.next();
    return epoch_;
}

std::vector<attempt_conclusion> attempt_tracker::on_ack(const hello_ack& ack)
{
    std::map<core::attempt_number, std::optional<work_end>> reported;
    for (const attempt_report& report : ack.started) {
        reported[report.number] = report.end;
    }
    agent_ = ack.incarnation;
    std::vector<attempt_conclusion> conclusions;
    for (std::pair<const core::attempt_number, sent_attempt>& entry : open_) {
        if (entry.second.epoch >= epoch_) {
            continue;
        }
        attempt_conclusion conclusion{entry.first, conclusion_kind::lost, std::nullopt};
        const auto found = reported.find(entry.first);
        if (entry.second.agent != ack.incarnation) {
            conclusion.kind = conclusion_kind::lost;
        }
        else if (found == reported.end()) {
            conclusion.kind = conclusion_kind::never_started;
        }
        else {
            conclusion.kind = found->second ? conclusion_kind::ended : conclusion_kind::fenced;
            conclusion.end = found->second;
        }
        if (!entry.second.concluded || conclusion.kind != conclusion_kind::fenced) {
            conclusions.push_back(std::move(conclusion));
        }
        entry.second.concluded = true;
    }
    return conclusions;
}

core::attempt_number attempt_tracker::next_attempt()
{
    last_number_ = last_number_.next();
    open_[last_number_] = sent_attempt{epoch_, agent_, false};
    return last_number_;
}

void attempt_tracker::settle(core::attempt_number number)
{
    if (open_.erase(number) != 0) {
        settled_.push_back(number);
    }
}

core::attempt_number attempt_tracker::settled_below() const
{
    return open_.empty() ? last_number_.next() : open_.begin()->first;
}

std::vector<core::attempt_number> attempt_tracker::take_settled()
{
    return std::exchange(settled_, {});
}

} // namespace currantpitch::sessions
