#pragma once

#include "sessions/sessionmessages.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace currantpitch::endpoints {

/// Decides which work an agent passes to its endpoint. New work is refused as soon as the agent,
/// the platform or an operator marks the endpoint as leaving.
class endpoint_gate {
public:
    void set_concurrency(std::uint32_t concurrency) { concurrency_ = concurrency; }
    void set_healthy(bool healthy) { healthy_ = healthy; }
    /// Marks the endpoint as leaving on behalf of the operator or platform. May be revoked.
    void set_desired_leaving(bool leaving) { desired_leaving_ = leaving; }
    /// Marks the endpoint as leaving because the agent shuts down. Cannot be revoked.
    void start_leaving() { stopping_ = true; }

    bool leaving() const { return desired_leaving_ || stopping_; }
    bool healthy() const { return healthy_; }
    std::uint32_t running() const { return running_; }
    std::uint32_t concurrency() const { return concurrency_; }

    /// Returns the reason to refuse the work, or nothing if it may run.
    std::optional<std::string_view> refusal(const sessions::start_work& work) const;
    void started(const sessions::start_work& work);
    void ended(const sessions::start_work& work);

private:
    std::uint32_t concurrency_ = 0;
    std::uint32_t running_ = 0;
    std::uint32_t isolated_ = 0;
    bool healthy_ = false;
    bool desired_leaving_ = false;
    bool stopping_ = false;
};

} // namespace currantpitch::endpoints
