#pragma once

#include "soak/faultscript.h"
#include "soak/soaksite.h"

namespace currantpitch::soak {

/// Injects the faults of a script into a site.
class fault_injector {
public:
    explicit fault_injector(soak_site& site) : site_(site) {}

    /// Starts each fault at its time, counted from now. Returns once all have ended.
    core::task<void> run(std::vector<planned_fault> script);
    /// Makes one third of the plain endpoints slow after the other, until the time is over. This is
    /// no disturbance: all guarantees apply.
    core::task<void> vary_endpoint_speeds(std::chrono::milliseconds length);
    const std::vector<std::string>& findings() const { return findings_; }
    /// Highest memory use of a gateway after an endpoint has sent bytes without end.
    std::size_t peak_gateway_memory_bytes() const { return peak_gateway_memory_; }

private:
    core::task<void> inject(planned_fault f);
    core::task<void> inject_gateway_fault(planned_fault f);
    core::task<void> inject_agent_fault(planned_fault f);
    core::task<void> inject_caller_link_fault(planned_fault f);
    core::task<void> inject_endpoint_link_fault(planned_fault f);
    core::task<void> inject_endpoint_fault(planned_fault f);
    core::task<void> inject_group_fault(planned_fault f);
    core::task<void> inject_store_fault(planned_fault f);
    void change_configuration(planned_fault f);
    core::task<void> stop_gateway(std::size_t i);
    core::task<void> limit_endpoint(planned_fault f);
    core::task<void> let_endpoint_leave(planned_fault f);
    core::task<void> restore_store(planned_fault f);
    core::task<void> send_without_end(planned_fault f);
    core::task<void> drain_endpoint(soak_site::endpoint& e);
    core::task<void> crash_endpoint(soak_site::endpoint& e, std::chrono::milliseconds duration);
    soak_site::endpoint& pick_endpoint(std::uint32_t target);
    soak_site::endpoint& pick_plain_endpoint(std::uint32_t target);

    soak_site& site_;
    std::size_t active_faults_ = 0;
    std::uint64_t new_key_count_ = 0;
    bool restoring_ = false;
    std::vector<std::string> findings_;
    std::size_t peak_gateway_memory_ = 0;
};

} // namespace currantpitch::soak
