#include "soak/evacuationoperator.h"

#include "core/timer.h"
#include "platform/sitecodec.h"
#include "soak/soakconstants.h"

namespace currantpitch::soak {

namespace {

objectstore::object_key key_of(const std::string& domain)
{
    return {std::string(platform::evacuation_kind), domain};
}

} // namespace

core::task<void> evacuation_operator::run()
{
    using std::chrono::milliseconds;
    std::uniform_int_distribution<std::int64_t> length(min_evacuation.count(),
                                                       max_evacuation.count());
    std::uniform_int_distribution<std::int64_t> pause(0, max_evacuation_pause.count());
    std::uniform_int_distribution<unsigned> distance(1, failure_domains_ - 1);
    std::bernoulli_distribution overlaps(evacuation_overlap_probability);
    unsigned next = static_cast<unsigned>(random_() % failure_domains_);
    std::string previous;
    while (!stopped_) {
        const std::string domain = "fd-" + std::to_string(next);
        next = (next + distance(random_)) % failure_domains_;
        evacuate(domain);
        const milliseconds time(length(random_));
        co_await core::sleep_for(time / 2);
        lift(previous);
        previous.clear();
        co_await core::sleep_for(time / 2);
        if (overlaps(random_)) {
            previous = domain;
            continue;
        }
        lift(domain);
        co_await core::sleep_for(milliseconds(pause(random_)));
    }
}

void evacuation_operator::evacuate(const std::string& domain)
{
    if (evacuated_.insert(domain).second) {
        store_.put(key_of(domain), boost::json::object());
        checker_.on_evacuated(domain, core::runtime_clock::now());
    }
}

void evacuation_operator::lift(const std::string& domain)
{
    if (evacuated_.erase(domain) > 0) {
        checker_.on_lifted(domain);
        store_.remove(key_of(domain));
    }
}

void evacuation_operator::stop()
{
    stopped_ = true;
    const std::set<std::string> all = evacuated_;
    for (const std::string& domain : all) {
        lift(domain);
    }
}

void evacuation_operator::publish_again()
{
    for (const std::string& name : store_.names(std::string(platform::evacuation_kind))) {
        if (!evacuated_.contains(name)) {
            store_.remove(key_of(name));
        }
    }
    for (const std::string& domain : evacuated_) {
        store_.put(key_of(domain), boost::json::object());
    }
}

} // namespace currantpitch::soak
