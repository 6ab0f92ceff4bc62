#pragma once

#include "soak/faultscript.h"
#include "soak/soaksite.h"

namespace currantpitch::soak {

/// Carries the faults of a script out on a site.
class fault_injector {
public:
    explicit fault_injector(soak_site& site) : site_(site) {}

    /// Begins each fault at its time after now; ends once all have ended.
    core::task<void> run(std::vector<planned_fault> script);
    const std::vector<std::string>& findings() const { return findings_; }

private:
    core::task<void> carry_out(planned_fault f);
    core::task<void> at_gateway(planned_fault f);
    core::task<void> at_agent(planned_fault f);
    core::task<void> at_caller_link(planned_fault f);
    core::task<void> at_endpoint_link(planned_fault f);
    core::task<void> at_endpoint(planned_fault f);
    core::task<void> at_group(planned_fault f);
    core::task<void> at_store(planned_fault f);
    void by_operator(planned_fault f);
    core::task<void> stop_gateway(std::size_t i);
    core::task<void> drain(soak_site::endpoint& e);
    core::task<void> crash(soak_site::endpoint& e, std::chrono::milliseconds lasts);
    soak_site::endpoint& any_endpoint(std::uint32_t target);
    soak_site::endpoint& plain_endpoint(std::uint32_t target);

    soak_site& site_;
    std::size_t under_way_ = 0;
    std::uint64_t keys_made_ = 0;
    std::vector<std::string> findings_;
};

} // namespace currantpitch::soak
